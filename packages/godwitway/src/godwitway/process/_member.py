"""An entry host as its peers know it."""

from enum import IntEnum

import msgspec

from godwitway.addresses import Address, unpack_address
from godwitway.version import hash_seed

__all__ = ["Member", "MemberState"]


class MemberState(IntEnum):
    """The states of a host; a higher one wins at the same incarnation."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


class Member(msgspec.Struct, array_like=True):
    """One entry host.

    Attributes:
        id: The packed address of its peer port.
        name: The host's name.
        zone: Its availability zone.
        control: Its address for control messages.
        api: Its address for the resource API.
        incarnation: Raised by the host itself to contradict what others say of it.
        state: Its state.
        boot: A random number of the process, so that a restart is noticed.
        revision: The configuration revision that it last said to have in force.
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
        """The socket address of its peer port."""
        return unpack_address(self.id)

    @property
    def hash_seed(self) -> int:
        """The hash seed of the host."""
        return hash_seed(self.id)

    @property
    def may_own_targets(self) -> bool:
        """Whether the host may own targets."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def is_reachable(self) -> bool:
        """Whether the host can be sent packets."""
        return self.state != MemberState.DEAD
