"""The membership record of an entry host and the states that it can have."""

from enum import IntEnum

import msgspec

from godwitway.addresses import Address, unpack_address
from godwitway.version import hash_seed

__all__ = ["Member", "MemberState"]


class MemberState(IntEnum):
    """The states of a host.

    Of two updates with the same incarnation and boot, the one with the higher state prevails.

    Attributes:
        JOINING: The host has started but does not own targets yet.
        ALIVE: The host may own targets.
        SUSPECT: The host did not answer probes; it may still own targets.
        LEAVING: The host is stopping as planned and hands its targets over.
        DEAD: The host did not refute a suspicion in time, or has stopped after leaving.
    """

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


class Member(msgspec.Struct, array_like=True):
    """The state of one entry host, as hosts exchange it.

    It is encoded as an array, so the order of the fields is part of the wire format.

    Attributes:
        id: The packed address of the host's peer port; identifies the host across restarts.
        name: The host's name.
        zone: The host's availability zone.
        control: The address that receives the host's control messages.
        api: The address of the host's resource API.
        incarnation: A counter that only the host itself raises, to refute false updates.
        state: The host's state.
        boot: A random number of the host's process; a different one means a restart.
        revision: The configuration revision in force that the host last reported.
    """

    id: bytes
    name: str
    zone: str
    control: Address
    api: Address
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    boot: int = 0
    revision: int = 0

    @property
    def address(self) -> Address:
        """The socket address of the host's peer port."""
        return unpack_address(self.id)

    @property
    def rendezvous_seed(self) -> int:
        """The seed of the host's rendezvous scores, derived from its id."""
        return hash_seed(self.id)

    @property
    def may_own_targets(self) -> bool:
        """Whether the host may own targets: it is alive or only suspected to be dead."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def is_live(self) -> bool:
        """Whether the host is in any state but `DEAD`, so that packets may be sent to it."""
        return self.state != MemberState.DEAD
