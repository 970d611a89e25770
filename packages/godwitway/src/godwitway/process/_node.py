"""The state that the components of one entry host share."""

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
from godwitway.request import DatagramHeader, Keyring, encode_datagram
from godwitway.version import EMPTY_SNAPSHOT, Snapshot

__all__ = ["Node"]


@dataclass(slots=True, eq=False)
class Node:
    """The state and services that the components of one entry host share.

    Attributes:
        settings: The validated settings.
        clock: The clock of the process.
        rng: The random number generator of the process.
        ingress_port: Receives packets from the fabric and from backend servers, and sends to both.
        peer_port: Exchanges datagrams with other entry hosts.
        transport: Exchanges control messages with other entry hosts.
        keyring: The keys that authenticate datagrams and control messages.
        metrics: The metrics of the process.
        journal: The decision log.
        snapshot: The configuration in force.
        members: All known hosts except this one, by id.
        directory: Maps each target to its owner.
        admitting: Whether new flows are admitted; False while ownership is not known for certain.
        joined: Whether the host knows its peers and owns targets.
        leaving: Whether the host is stopping.
        background_tasks: The background tasks that are running.
        indirect_peers: The ids of hosts that acknowledge indirect pings only; redirects to them are
            relayed by another host.
        platform_host_states: The platform's host list, which lags behind: (state, version) by IP
            address.
        boot_id: A random number that distinguishes this process from earlier ones of the host.
        incarnation: The incarnation of this host; raised to override what peers say of it.
        id: The packed address of the peer port, which identifies the host.
        now: Returns the monotonic time in seconds.
        started_at: When this process started, in seconds of the clock.
        fabric: The addresses that packets for callers are sent to.
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
    background_tasks: set["asyncio.Task[None]"] = field(default_factory=set)
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
        """Run a short coroutine in the background; a failure is logged and counted, not raised."""
        task = asyncio.ensure_future(job)
        self.background_tasks.add(task)
        task.add_done_callback(self.on_background_task_done)

    def on_background_task_done(self, task: "asyncio.Task[None]") -> None:
        """Remove a finished background task, and log and count its failure."""
        self.background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("internal_errors")
            logging.error("background task failed; the host continues", exc_info=task.exception())

    def record_drop(self, kind: ErrorKind, key: bytes | None = None, **fields: object) -> None:
        """Count a dropped packet by error kind, and log an event when its flow key is given."""
        self.metrics.count("packets_dropped", kind.value)
        if key is not None:
            self.journal.event("drop", key, reason=kind.value, **fields)

    def send_to_fabric(self, packet: bytes) -> None:
        """Send a packet for a caller to a random address of the fabric."""
        fabric = self.fabric
        self.ingress_port.send(packet, fabric[0] if len(fabric) == 1 else self.rng.choice(fabric))

    def send_datagram(self, header: DatagramHeader, body: bytes, to: Address) -> None:
        """Send an authenticated datagram to the peer port of another host."""
        self.peer_port.send(encode_datagram(header, body, self.keyring), to)

    def own_state(self) -> MemberState:
        """Return the state that this host announces."""
        if self.leaving:
            return MemberState.LEAVING
        return MemberState.ALIVE if self.joined else MemberState.JOINING

    def own_member(self) -> Member:
        """Return the member record that this host announces."""
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

    def newest_revision(self) -> int:
        """Return the highest revision of the store that this host has learned of."""
        members = [member.revision for member in self.members.values()]
        platform_hosts = [version for _, version in self.platform_host_states.values()]
        return max([self.snapshot.revision, *members, *platform_hosts])

    def is_reachable(self, host_id: bytes) -> bool:
        """Return whether a host is this one or a member that is not known to be dead."""
        if host_id == self.id:
            return True
        member = self.members.get(host_id)
        return member is not None and member.is_live
