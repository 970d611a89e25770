"""The status and the dump of one host process, as data for the resource API."""

from itertools import islice
from typing import Any

from godwitway.addresses import format_address, unpack_address
from godwitway.connection import FlowRecord, FlowState, OwnedTarget
from godwitway.process._config import ConfigSync
from godwitway.process._flows import Flows
from godwitway.process._member import Member, MemberState
from godwitway.process._node import Node
from godwitway.request import format_key

__all__ = ["build_dump", "build_status", "describe_member"]

MAX_FLOWS_SHOWN = 200


def describe_target(node: Node, owned: OwnedTarget) -> dict[str, Any]:
    """Return an owned or departing target as data for JSON."""
    now = node.now()
    usage = owned.usage
    previous = owned.previous_owner
    return {
        "target": format_address(usage.target.address),
        "service": usage.service.name,
        "zone": usage.target.zone,
        "state": usage.target.state,
        "takes_new": owned.is_preferred(now),
        "connections": usage.connections,
        "slots_busy": usage.busy_slots,
        "slots": usage.target.slots,
        "waiting": usage.waiting_count,
        "slot_seconds": round(usage.slot_seconds, 3),
        "records_may_be_lost": owned.records_may_be_lost,
        "previous_owner": None if previous is None else format_address(unpack_address(previous)),
        "health": {
            "endpoint_ok": owned.health.endpoint_ok,
            "endpoint_draining": owned.health.endpoint_draining,
            "trust_endpoint": owned.health.trust_endpoint,
            "score": round(owned.health.score, 2),
        },
    }


def describe_flow(key: bytes, record: FlowRecord, now: float) -> dict[str, Any]:
    """Return a flow record as data for JSON."""
    return {
        "flow": format_key(key),
        "kind": record.kind.name,
        "state": FlowState(record.state).name.lower(),
        "target": format_address(record.owned.usage.target.address),
        "idle_s": round(now - record.last_packet_at, 3),
    }


def describe_member(member: Member, newest_revision: int) -> dict[str, Any]:
    """Return a host as data for JSON; `lag` says why it lacks the newest revision, or is empty."""
    lag = ""
    if member.state == MemberState.DEAD:
        lag = "does not answer"
    elif member.revision < newest_revision:
        lag = f"has revision {member.revision}, the newest known is {newest_revision}"
    return {
        "name": member.name,
        "zone": member.zone,
        "state": MemberState(member.state).name.lower(),
        "revision": member.revision,
        "lag": lag,
        "api": format_address(member.api),
    }


def build_status(node: Node, flows: Flows, config_sync: ConfigSync) -> dict[str, Any]:
    """Return the status of this host and the configuration revision of each known host."""
    members = [node.own_member(), *sorted(node.members.values(), key=lambda member: member.name)]
    newest_revision = max(member.revision for member in members)
    return {
        "host": node.settings.name,
        "zone": node.settings.zone,
        "revision": node.snapshot.revision,
        "newest_known": newest_revision,
        "admitting": node.admitting,
        "leaving": node.leaving,
        "watching_store": config_sync.is_watching,
        "rejected_services": sorted(config_sync.rejected_services),
        "departing_targets": len(flows.departing),
        "recovering_targets": sum(owned.records_may_be_lost for owned in flows.owned.values()),
        "hosts": [describe_member(member, newest_revision) for member in members],
    }


def build_dump(
    node: Node, flows: Flows, config_sync: ConfigSync, flow_filter: str = ""
) -> dict[str, Any]:
    """Return the state of the process without secrets, with at most `MAX_FLOWS_SHOWN` flows.

    Args:
        node: The host.
        flows: Its flows.
        config_sync: Its configuration state.
        flow_filter: Only flows whose text contains this are included; empty for all.
    """
    now = node.now()
    shown = (
        describe_flow(key, record, now)
        for key, record in flows.table.items()
        if flow_filter in format_key(key)
    )
    return {
        "status": build_status(node, flows, config_sync),
        "settings": {
            "name": node.settings.name,
            "zone": node.settings.zone,
            "door": format_address(node.ingress_port.address),
            "peer": format_address(node.peer_port.address),
            "control": format_address(node.transport.address),
            "keys": len(node.settings.keys),
        },
        "services": {
            name: node.snapshot.resource_versions[name] for name in node.snapshot.services
        },
        "platform_hosts": {
            ip: state for ip, (state, _) in sorted(node.platform_host_states.items())
        },
        "owned": [describe_target(node, owned) for owned in flows.owned.values()],
        "departing": [describe_target(node, owned) for owned in flows.departing.values()],
        "flow_count": len(flows.table),
        "exceptions": len(flows.pinned_targets),
        "flows": list(islice(shown, MAX_FLOWS_SHOWN)),
        "metrics": node.metrics.as_json(),
    }
