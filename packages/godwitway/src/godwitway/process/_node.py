"""What all parts of one host process share."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from godwitway.addresses import Address, pack_address
from godwitway.errors import ErrorKind
from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.process._clock import Clock
from godwitway.process._directory import Directory
from godwitway.process._member import Member, MemberState
from godwitway.process._ports import DatagramPort
from godwitway.process._settings import Settings
from godwitway.process._transport import ControlTransport
from godwitway.request import Keyring, Redirect, encode_datagram
from godwitway.version import EMPTY_SNAPSHOT, Snapshot

__all__ = ["Node"]


@dataclass(slots=True, eq=False)
class Node:
    """The shared state of one entry host.

    Attributes:
        settings: The checked settings.
        clock: The process's clock.
        rng: The process's random numbers.
        ingress_port: The port for packets of the fabric and of backend servers.
        peer_port: The port for datagrams between entry hosts.
        transport: Control messages between entry hosts.
        keyring: The keys that authenticate datagrams and control messages.
        metrics: Counters and percentiles.
        journal: The log of decisions.
        snapshot: The configuration in force.
        members: All known hosts but this one, by id.
        directory: The owners of all targets.
        admitting: False while the host does not know who owns what.
        joined: Whether the host knows its peers and owns targets.
        leaving: Whether the host is stopping.
        background: The background jobs that are running.
        indirect_peers: Hosts that are alive but that this one's datagrams do not reach.
        platform_host_states: The platform's lagging list: state and version by IP address.
        boot_id: The random number of this process.
        incarnation: This host's incarnation.
        id: The packed address of the peer port.
        now: Returns the process's monotonic time in seconds.
        started_at: When this process started, in seconds of its clock.
    """

    settings: Settings
    clock: Clock
    rng: random.Random
    ingress_port: DatagramPort
    peer_port: DatagramPort
    transport: ControlTransport
    keyring: Keyring
    metrics: Metrics
    journal: Journal
    snapshot: Snapshot = EMPTY_SNAPSHOT
    members: dict[bytes, Member] = field(default_factory=dict)
    directory: Directory = field(init=False)
    admitting: bool = False
    joined: bool = False
    leaving: bool = False
    background: set["asyncio.Task[None]"] = field(default_factory=set)
    indirect_peers: set[bytes] = field(default_factory=set)
    platform_host_states: dict[str, tuple[str, int]] = field(default_factory=dict)
    boot_id: int = 0
    incarnation: int = 0
    id: bytes = field(init=False)
    started_at: float = field(init=False)
    now: Callable[[], float] = field(init=False)
    fabric: list[Address] = field(init=False)

    def __post_init__(self) -> None:
        self.id = pack_address(self.peer_port.address)
        self.fabric = self.settings.fabric
        self.now = self.clock.now
        self.directory = Directory(self.settings.zone)
        self.started_at = self.now()

    def spawn(self, job: Coroutine[Any, Any, None]) -> None:
        """Run a short background job; its failure is logged and counted."""
        task = asyncio.ensure_future(job)
        self.background.add(task)
        task.add_done_callback(self.on_background_task_done)

    def on_background_task_done(self, task: "asyncio.Task[None]") -> None:
        """Forget a background job, and log it when it failed."""
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("internal_errors")
            logging.error("a background job failed", exc_info=task.exception())

    def record_drop(self, kind: ErrorKind, key: bytes | None = None, **fields: object) -> None:
        """Count a dropped packet by its error kind, and log it when its flow is known."""
        self.metrics.count("packets_dropped", kind.value)
        if key is not None:
            self.journal.event("drop", key, reason=kind.value, **fields)

    def send_to_fabric(self, packet: bytes) -> None:
        """Send a packet on its way to the caller."""
        fabric = self.fabric
        self.ingress_port.send(packet, fabric[0] if len(fabric) == 1 else self.rng.choice(fabric))

    def send_datagram(self, redirect: Redirect, body: bytes, to: Address) -> None:
        """Send a signed datagram to a peer."""
        self.peer_port.send(encode_datagram(redirect, body, self.keyring), to)

    def own_state(self) -> MemberState:
        """Return this host's state as it says it itself."""
        if self.leaving:
            return MemberState.LEAVING
        return MemberState.ALIVE if self.joined else MemberState.JOINING

    def own_member(self) -> Member:
        """Return this host as its peers are to know it."""
        return Member(
            id=self.id,
            name=self.settings.name,
            zone=self.settings.zone,
            control=self.transport.address,
            api=self.settings.api.address,
            incarnation=self.incarnation,
            state=self.own_state(),
            boot=self.boot_id,
            revision=self.snapshot.revision,
        )

    def is_reachable(self, host: bytes) -> bool:
        """Whether a host can be sent packets, as far as is known."""
        if host == self.id:
            return True
        member = self.members.get(host)
        return member is not None and member.is_reachable
