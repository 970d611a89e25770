"""One entry host: its parts, its tasks, its start and its planned stop."""

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
from godwitway.process._reports import HealthClient, TargetMonitor
from godwitway.process._router import Router
from godwitway.process._settings import Settings
from godwitway.process._store import Store
from godwitway.process._transport import ControlTransport
from godwitway.process._writes import ServiceWriter
from godwitway.request import Keyring, format_key

__all__ = ["Host", "HostDependencies"]

SWEEP_PERIOD_S = 0.05
KNOCK_GAP_S = 0.2
STATE_WAIT_S = 1.0
QUIET_S = 1.0
POLL_S = 0.05
BOOT_BITS = 31


class HostDependencies:
    """How a host reaches everything else: ports, messages, the store and health endpoints."""

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
        node: What the parts share.
        tasks: The running tasks.
        stopped: Set when a planned stop is complete, or a task has failed.
        failure: Why a task failed, if one did.
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
            boot_id=rng.getrandbits(BOOT_BITS),
        )
        self.flows = Flows(self.node)
        self.router = Router(self.node, self.flows)
        answers = AnswerTracker(self.node, self.flows, self.router)
        self.ingress = Ingress(self.node, self.flows, self.router, answers)
        self.ownership = Ownership(self.node, self.flows, self.router)
        self.control = Control(self.node)
        self.config_sync = ConfigSync(self.node, self.ownership, self.control, dependencies.store)
        self.membership = Membership(
            self.node,
            self.ownership.handle_member_joined,
            self.ownership.handle_member_left,
            self.config_sync.on_newer_revision,
        )
        self.handover = Handover(self.node, self.flows, self.ownership, self.control)
        self.target_monitor = TargetMonitor(self.node, self.flows, dependencies.health_client)
        self.service_writer = ServiceWriter(dependencies.store, clock)
        self.tasks: list[asyncio.Task[None]] = []
        self.stopped = asyncio.Event()
        self.failure: BaseException | None = None
        self.connect_parts()

    def connect_parts(self) -> None:
        """Let datagrams and control messages reach the parts that handle them."""
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
        """Take over the hosts and the configuration that a peer sent."""
        for member in [reply.sender, *reply.members]:
            self.membership.apply_update(member)
        await self.config_sync.apply_state_reply(reply)

    # Start

    def start(self) -> None:
        """Start all tasks."""
        jobs = [
            self.ingress.read_peer_port(),
            self.control.run(),
            self.join(),
            self.sweep(),
            self.handover.run(),
            self.handover.run_queries(),
            self.handover.run_announcements(),
            self.target_monitor.run_load_reports(),
            self.target_monitor.run_health_checks(),
        ]
        for job in jobs:
            self.start_task(job)

    def start_task(self, job: Coroutine[Any, Any, None]) -> None:
        """Run a task for as long as the process."""
        task = asyncio.ensure_future(job)
        self.tasks.append(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Let the failure of a task end the process."""
        if not task.cancelled() and task.exception() is not None:
            self.failure = task.exception()
            self.stopped.set()

    async def run(self) -> None:
        """Run until a planned stop is complete; a failed task ends the process."""
        self.start()
        await self.stopped.wait()
        self.cancel_tasks()
        if self.failure is not None:
            raise self.failure

    def cancel_tasks(self) -> None:
        """Cancel all tasks."""
        helpers = [*self.handover.tasks.values(), *self.target_monitor.tasks.values()]
        for task in [*self.tasks, *helpers, *self.node.background]:
            task.cancel()

    async def join(self) -> None:
        """Find the peers, take over their state and begin to own targets."""
        node = self.node
        self.start_task(self.config_sync.run())
        deadline = node.now() + node.settings.cold_boot_s
        while not node.members and node.now() < deadline:
            self.membership.contact_seeds()
            await node.clock.sleep(KNOCK_GAP_S)
        if node.members:
            await self.ask_for_state()
        known_before = node.incarnation > 0
        await self.ownership.prepare_directory()
        self.ownership.start_owning(records_may_be_lost=known_before or not node.members)
        node.journal.event("joined", members=len(node.members), known_before=known_before)
        self.membership.announce_self()
        # Until here the fabric's packets waited in the socket's buffer.
        for job in (self.membership.run(), self.ingress.read_ingress_port()):
            self.start_task(job)
        await self.keep_knocking()

    async def keep_knocking(self) -> None:
        """Go on looking for seeds while this host is alone; never returns."""
        while True:
            if not self.membership.live_peers():
                self.membership.contact_seeds()
            await self.node.clock.sleep(1.0)

    async def ask_for_state(self) -> None:
        """Ask some peers for the hosts and the configuration that they know."""
        self.config_sync.state_received.clear()
        request = StateRequest(self.node.own_member(), self.node.snapshot.revision)
        peers = self.membership.live_peers()[:2]
        for peer in peers:
            await self.control.send_to(request, peer.control)
        await self.config_sync.wait_for_state(STATE_WAIT_S)

    async def sweep(self) -> None:
        """End waiting and silent flows, for ever."""
        while True:
            await self.node.clock.sleep(SWEEP_PERIOD_S)
            self.ingress.detect_pause()
            self.flows.expire_records()

    # A pause

    def handle_pause(self, seconds: float) -> None:
        """Admit nothing after a pause until peers have said who owns what."""
        node = self.node
        node.admitting = False
        node.metrics.count("pauses_noticed")
        node.journal.event("paused", seconds=round(seconds, 3))
        for owned in self.flows.owned.values():
            # What waits may be running elsewhere by now, so it gets no answer.
            for waiting in owned.usage.pop_all_waiting():
                self.flows.table.pop(waiting.key, None)
        node.spawn(self.resume())

    async def resume(self) -> None:
        """Learn from the peers what happened during a pause."""
        node = self.node
        if self.membership.live_peers():
            await self.ask_for_state()
        now = node.now()
        for id_, owned in self.flows.owned.items():
            second = node.directory.compute_assignment(
                node.directory.targets[id_], excluded=node.id
            )
            owned.previous_owner = second.owner
            owned.owned_since = now
            owned.records_may_be_lost = True
        node.admitting = True

    # A planned stop

    async def stop(self) -> None:
        """Hand everything over and stop, at the latest at the stated bound."""
        node = self.node
        started = node.now()
        node.leaving = True
        node.incarnation += 1
        node.journal.event("stopping", flows=len(self.flows.table))
        self.membership.announce_self()
        self.ownership.release_all_targets()
        bound = started + node.settings.stop_bound_s
        while node.now() < bound and not self.may_exit():
            await node.clock.sleep(POLL_S)
        node.journal.event(
            "stopped",
            seconds=round(node.now() - started, 3),
            flows_left=len(self.flows.table),
            targets_left=len(self.flows.departing),
        )
        self.say_goodbye()
        self.stopped.set()

    def may_exit(self) -> bool:
        """Whether all records are handed over and the fabric sends nothing more."""
        others = any(member.may_own_targets for member in self.node.members.values())
        handed_over = not self.flows.departing or not others
        return handed_over and self.node.now() - self.ingress.last_ingress_at >= QUIET_S

    def say_goodbye(self) -> None:
        """Tell the peers that this host is gone."""
        gone: Member = msgspec.structs.replace(self.node.own_member(), state=MemberState.DEAD)
        probe = Probe(ProbeKind.GOSSIP, 0, gone, b"", [gone])
        for peer in self.membership.live_peers():
            self.membership.send(peer.address, probe)
