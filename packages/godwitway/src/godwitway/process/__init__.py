"""What lives as long as the process: ports, peers, membership, configuration and the API."""

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.process._api import build_app, serve_api
from godwitway.process._clock import Clock, LoopClock, wait_for_event
from godwitway.process._config import CONFIG_PREFIX, HOSTS_PREFIX, MARKER, SERVICES_PREFIX
from godwitway.process._courier import Courier, NngCourier
from godwitway.process._etcd import EtcdStore
from godwitway.process._host import Host, Links
from godwitway.process._ports import DatagramPort, UdpPort, batches
from godwitway.process._reports import EndpointReport, HealthSource, HttpHealth
from godwitway.process._settings import ApiSettings, Settings, check_settings, read_settings
from godwitway.process._store import Compare, Delete, Get, Put, Store, TxnResult
from godwitway.store import CompactedError, KeyValue, RangeResult, StoreError, WatchEvent

__all__ = [
    "CONFIG_PREFIX",
    "HOSTS_PREFIX",
    "MARKER",
    "SERVICES_PREFIX",
    "ApiSettings",
    "Clock",
    "CompactedError",
    "Compare",
    "Courier",
    "DatagramPort",
    "Delete",
    "EndpointReport",
    "EtcdStore",
    "Get",
    "HealthSource",
    "Host",
    "HttpHealth",
    "Journal",
    "KeyValue",
    "Links",
    "LoopClock",
    "Metrics",
    "NngCourier",
    "Put",
    "RangeResult",
    "Settings",
    "Store",
    "StoreError",
    "TxnResult",
    "UdpPort",
    "WatchEvent",
    "batches",
    "build_app",
    "check_settings",
    "read_settings",
    "serve_api",
    "wait_for_event",
]
