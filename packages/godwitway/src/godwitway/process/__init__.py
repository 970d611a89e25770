"""An entry host process: sockets, membership, configuration, flows and the resource API."""

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.process._api import build_app, serve_api
from godwitway.process._clock import Clock, LoopClock, wait_for_event
from godwitway.process._config import (
    CONFIG_PREFIX,
    HOSTS_PREFIX,
    REVISION_MARKER_KEY,
    SERVICES_PREFIX,
)
from godwitway.process._etcd import EtcdStore
from godwitway.process._host import Host, HostDependencies
from godwitway.process._ports import DatagramPort, UdpPort, receive_batches
from godwitway.process._reports import EndpointReport, HealthClient, HttpHealthClient
from godwitway.process._settings import ApiSettings, Settings, check_settings, read_settings
from godwitway.process._store import Compare, Delete, Get, Put, Store, TxnResult
from godwitway.process._transport import ControlTransport, NngTransport
from godwitway.store import (
    CompactedError,
    KeyValue,
    LeaseNotFoundError,
    RangeResult,
    StoreError,
    WatchEvent,
)

__all__ = [
    "CONFIG_PREFIX",
    "HOSTS_PREFIX",
    "REVISION_MARKER_KEY",
    "SERVICES_PREFIX",
    "ApiSettings",
    "Clock",
    "CompactedError",
    "Compare",
    "ControlTransport",
    "DatagramPort",
    "Delete",
    "EndpointReport",
    "EtcdStore",
    "Get",
    "HealthClient",
    "Host",
    "HostDependencies",
    "HttpHealthClient",
    "Journal",
    "KeyValue",
    "LeaseNotFoundError",
    "LoopClock",
    "Metrics",
    "NngTransport",
    "Put",
    "RangeResult",
    "Settings",
    "Store",
    "StoreError",
    "TxnResult",
    "UdpPort",
    "WatchEvent",
    "build_app",
    "check_settings",
    "read_settings",
    "receive_batches",
    "serve_api",
    "wait_for_event",
]
