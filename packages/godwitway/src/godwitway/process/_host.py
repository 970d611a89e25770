"""One entry host: its components and tasks, and how it starts, stops and reacts to a pause."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import msgspec

from godwitway.journal import Journal, Sink
from godwitway.metrics import Metrics
from godwitway.process._answers import AnswerTracker
from godwitway.process._clock import Clock
from godwitway.process._config import ConfigSync
from godwitway.process._control import Control
from godwitway.process._flows import Flows
from godwitway.process._handover import Handover
from godwitway.process._ingress import Ingress
from godwitway.process._log_sink import write_log_line
from godwitway.process._member import Member, MemberState
from godwitway.process._membership import Membership
from godwitway.process._messages import (
    ConfigDelta,
    ExceptionNotes,
    HandoverAck,
    HandoverBatch,
    HandoverQuery,
    HostNotes,
    Probe,
    ProbeKind,
    StateReply,
    StateRequest,
)
from godwitway.process._node import Node
from godwitway.process._ownership import Ownership
from godwitway.process._ports import DatagramPort
from godwitway.process._renumbering import RenumberedStore
from godwitway.process._reports import HealthClient, TargetMonitor
from godwitway.process._router import Router
from godwitway.process._settings import Settings
from godwitway.process._store import Store
from godwitway.process._transport import ControlTransport
from godwitway.process._writes import ServiceWriter
from godwitway.request import Keyring, format_key

__all__ = ["Host", "HostDependencies"]

EXPIRY_PERIOD_S = 0.05
SEED_CONTACT_PERIOD_S = 0.2
STATE_REPLY_TIMEOUT_S = 1.0
# The fabric may send packets for a while after this host announced that it leaves.
INGRESS_QUIET_S = 1.0
STOP_POLL_PERIOD_S = 0.05
BOOT_ID_BITS = 31


class HostDependencies:
    """The external interfaces of a host, which tests replace.

    Attributes:
        ingress_port: Packets of the fabric and of backend servers.
        peer_port: Datagrams of other entry hosts.
        transport: Control messages of other entry hosts.
        store: The platform's key-value store.
        health_client: Queries the health endpoints of targets.
    """

    __slots__ = ("health_client", "ingress_port", "peer_port", "store", "transport")

    def __init__(
        self,
        ingress_port: DatagramPort,
        peer_port: DatagramPort,
        transport: ControlTransport,
        store: Store,
        health_client: HealthClient,
    ) -> None:
        self.ingress_port = ingress_port
        self.peer_port = peer_port
        self.transport = transport
        self.store = store
        self.health_client = health_client


class Host:
    """One entry host.

    Attributes:
        node: The state that the components share.
        tasks: The tasks that run as long as the host.
        stopped: Set when a planned stop is complete or a task has failed.
        failure: The exception of the task that failed, or None.
    """

    def __init__(
        self,
        settings: Settings,
        dependencies: HostDependencies,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics | None = None,
        sink: Sink = write_log_line,
    ) -> None:
        self.node = Node(
            settings=settings,
            clock=clock,
            rng=rng,
            ingress_port=dependencies.ingress_port,
            peer_port=dependencies.peer_port,
            transport=dependencies.transport,
            keyring=Keyring(settings.keys),
            metrics=metrics or Metrics(),
            journal=Journal(settings.name, clock.now, sink, format_key),
            boot_id=rng.getrandbits(BOOT_ID_BITS),
        )
        self.flows = Flows(self.node)
        self.router = Router(self.node, self.flows)
        answers = AnswerTracker(self.node, self.flows, self.router)
        self.ingress = Ingress(self.node, self.flows, self.router, answers)
        self.ownership = Ownership(self.node, self.flows, self.router)
        self.control = Control(self.node)
        store = RenumberedStore(dependencies.store, self.node.newest_revision, self.node.journal)
        self.config_sync = ConfigSync(self.node, self.ownership, self.control, store)
        self.membership = Membership(
            self.node,
            self.ownership.handle_member_joined,
            self.ownership.handle_member_left,
            self.config_sync.on_newer_revision,
        )
        self.handover = Handover(self.node, self.flows, self.ownership, self.control)
        self.target_monitor = TargetMonitor(self.node, self.flows, dependencies.health_client)
        self.service_writer = ServiceWriter(store, clock)
        self.tasks: list[asyncio.Task[None]] = []
        self.stopped = asyncio.Event()
        self.failure: BaseException | None = None
        self.register_handlers()

    def register_handlers(self) -> None:
        """Route membership datagrams, pauses and control messages to their handlers."""
        self.ingress.on_membership_datagram = self.membership.handle_datagram
        self.ingress.on_pause = self.handle_pause
        self.control.handlers = {
            StateRequest: self.config_sync.on_state_request,
            StateReply: self.on_state_reply,
            ConfigDelta: self.config_sync.on_config_delta,
            HandoverBatch: self.handover.handle_batch,
            HandoverAck: self.handover.handle_ack,
            HandoverQuery: self.handover.handle_query,
            ExceptionNotes: self.handover.handle_pinned_flows,
            HostNotes: self.config_sync.on_host_notes,
        }

    async def on_state_reply(self, reply: StateReply) -> None:
        """Merge the hosts and the configuration that a peer sent."""
        for member in [reply.sender, *reply.members]:
            self.membership.apply_update(member)
        await self.config_sync.apply_state_reply(reply)

    # Start

    def start(self) -> None:
        """Start the host; must be called once, in a running event loop."""
        jobs = [
            self.ingress.read_peer_port(),
            self.control.run(),
            self.join(),
            self.run_expiry(),
            self.handover.run(),
            self.handover.run_queries(),
            self.handover.run_announcements(),
            self.target_monitor.run_load_reports(),
            self.target_monitor.run_health_checks(),
        ]
        for job in jobs:
            self.start_task(job)

    def start_task(self, job: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task whose failure stops the host."""
        task = asyncio.ensure_future(job)
        self.tasks.append(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Record the failure of a task and stop the host."""
        if not task.cancelled() and task.exception() is not None:
            self.failure = task.exception()
            self.stopped.set()

    async def run(self) -> None:
        """Run until a planned stop is complete; raises the exception of a task that failed."""
        self.start()
        await self.stopped.wait()
        self.cancel_tasks()
        if self.failure is not None:
            raise self.failure

    def cancel_tasks(self) -> None:
        """Cancel all tasks at once, without a planned stop."""
        component_tasks = [*self.handover.tasks.values(), *self.target_monitor.tasks.values()]
        for task in [*self.tasks, *component_tasks, *self.node.background_tasks]:
            task.cancel()

    async def join(self) -> None:
        """Contact the seeds, copy the state of peers, begin to own targets and to serve."""
        node = self.node
        self.start_task(self.config_sync.run())
        deadline = node.now() + node.settings.cold_boot_s
        while not node.members and node.now() < deadline:
            self.membership.contact_seeds()
            await node.clock.sleep(SEED_CONTACT_PERIOD_S)
        if node.members:
            await self.request_peer_state()
        # A peer that still has a record of this address makes this host raise its incarnation: an
        # earlier process owned targets, and its flow records may be lost.
        known_before = node.incarnation > 0
        await self.ownership.prepare_directory()
        self.ownership.start_owning(records_may_be_lost=known_before or not node.members)
        node.journal.event("joined", members=len(node.members), known_before=known_before)
        self.membership.announce_self()
        # Packets of the fabric are read only from here on: before, this host could admit no flow,
        # and the socket buffer held them.
        for job in (self.membership.run(), self.ingress.read_ingress_port()):
            self.start_task(job)
        await self.recontact_seeds()

    async def recontact_seeds(self) -> None:
        """Contact the seeds whenever no peer is alive; runs until cancelled."""
        while True:
            if not self.membership.live_peers():
                self.membership.contact_seeds()
            await self.node.clock.sleep(1.0)

    async def request_peer_state(self) -> None:
        """Request hosts and configuration from up to two peers, and wait for the first reply.

        The wait ends after `STATE_REPLY_TIMEOUT_S` at the latest.
        """
        self.config_sync.state_received.clear()
        request = StateRequest(self.node.own_member(), self.node.snapshot.revision)
        peers = self.membership.live_peers()[:2]
        for peer in peers:
            await self.control.send_to(request, peer.control)
        await self.config_sync.wait_for_state(STATE_REPLY_TIMEOUT_S)

    async def run_expiry(self) -> None:
        """Detect pauses and expire waiting requests and idle flows; runs until cancelled."""
        while True:
            await self.node.clock.sleep(EXPIRY_PERIOD_S)
            self.ingress.detect_pause()
            self.flows.expire_records()

    # A pause

    def handle_pause(self, seconds: float) -> None:
        """Stop admitting flows after the process was paused, until `resume_admission` has run.

        That is when the first peer has sent its state or `STATE_REPLY_TIMEOUT_S` has passed; at
        once without live peers.

        Args:
            seconds: How long the process did not run.
        """
        node = self.node
        node.admitting = False
        node.metrics.count("pauses_noticed")
        node.journal.event("paused", seconds=round(seconds, 3))
        for owned in self.flows.owned.values():
            # Another owner may have started a waiting request by now, so this host drops it
            # without an answer.
            for waiting in owned.usage.pop_all_waiting():
                self.flows.table.pop(waiting.key, None)
        node.spawn(self.resume_admission())

    async def resume_admission(self) -> None:
        """Copy the state of peers after a pause, and treat records of owned targets as partial."""
        node = self.node
        if self.membership.live_peers():
            await self.request_peer_state()
        now = node.now()
        for id_, owned in self.flows.owned.items():
            # Peers may have declared this host dead during the pause; the next-ranked host then
            # owned the target and has newer records.
            next_assignment = node.directory.compute_assignment(
                node.directory.targets[id_], excluded=node.id
            )
            owned.previous_owner = next_assignment.owner
            owned.records_complete_since = now
            owned.records_may_be_lost = True
        node.admitting = True

    # A planned stop

    async def stop(self) -> None:
        """Give up all targets, hand their records over and stop, within `stop_bound_s`."""
        node = self.node
        started = node.now()
        node.leaving = True
        node.incarnation += 1
        node.journal.event("stopping", flows=len(self.flows.table))
        self.membership.announce_self()
        self.ownership.release_all_targets()
        bound = started + node.settings.stop_bound_s
        while node.now() < bound and not self.can_exit():
            await node.clock.sleep(STOP_POLL_PERIOD_S)
        node.journal.event(
            "stopped",
            seconds=round(node.now() - started, 3),
            flows_left=len(self.flows.table),
            targets_left=len(self.flows.departing),
        )
        self.announce_departure()
        self.stopped.set()

    def can_exit(self) -> bool:
        """Return whether this host may end its planned stop.

        No more records can be handed over: none are left, or no other host may own targets. And no
        packet has arrived at the ingress port for `INGRESS_QUIET_S`.
        """
        has_other_owners = any(member.may_own_targets for member in self.node.members.values())
        is_handed_over = not self.flows.departing or not has_other_owners
        return is_handed_over and self.node.now() - self.ingress.last_ingress_at >= INGRESS_QUIET_S

    def announce_departure(self) -> None:
        """Declare this host dead to its peers, so that they need not detect it."""
        dead_member: Member = msgspec.structs.replace(
            self.node.own_member(), state=MemberState.DEAD
        )
        probe = Probe(ProbeKind.GOSSIP, 0, dead_member, b"", [dead_member])
        for peer in self.membership.live_peers():
            self.membership.send(peer.address, probe)
