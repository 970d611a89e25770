"""Snapshot of the configuration: all services at one revision of the store."""

from collections.abc import Iterable

import msgspec

from godwitway.version._service import Kind, Service, Target, check_service

__all__ = ["EMPTY_SNAPSHOT", "Snapshot", "build_snapshot"]


class Snapshot:
    """All services at one revision, indexed for the packet path; treated as immutable.

    Attributes:
        revision: Revision of the store.
        documents: JSON document of each service, by service name.
        resource_versions: Resource version of each service, by service name.
        services: Checked services, by name.
        service_addresses: Addresses of all services, 4 bytes each.
        kinds_by_endpoint: Service and kind by service address, port and protocol, which are 4, 2
            and 1 bytes.
        targets_by_id: Service and target by packed target address, unlike
            `Service.targets_by_id`, which has the targets alone.
    """

    __slots__ = (
        "documents",
        "kinds_by_endpoint",
        "resource_versions",
        "revision",
        "service_addresses",
        "services",
        "targets_by_id",
    )

    def __init__(
        self,
        revision: int,
        documents: dict[str, bytes],
        resource_versions: dict[str, int],
        services: dict[str, Service],
    ) -> None:
        self.revision = revision
        self.documents = documents
        self.resource_versions = resource_versions
        self.services = services
        self.service_addresses = {service.address for service in services.values()}
        self.kinds_by_endpoint: dict[bytes, tuple[Service, Kind]] = {
            service.address + kind.port.to_bytes(2, "big") + bytes([kind.protocol]): (
                service,
                kind,
            )
            for service in services.values()
            for kind in service.kinds
        }
        self.targets_by_id: dict[bytes, tuple[Service, Target]] = {
            target.id: (service, target)
            for service in services.values()
            for target in service.targets
        }

    def find_service_and_kind(self, key: bytes) -> tuple[Service, Kind] | None:
        """Return the service and kind that a caller's flow key belongs to, or None."""
        return self.kinds_by_endpoint.get(key[4:8] + key[10:13])


EMPTY_SNAPSHOT = Snapshot(0, {}, {}, {})


def build_snapshot(
    previous: Snapshot,
    revision: int,
    changes: Iterable[tuple[str, bytes | None, int]],
) -> tuple[Snapshot, list[str]]:
    """Return a new snapshot with changed documents.

    Services whose document has not changed are the same objects in both snapshots.

    Args:
        previous: Snapshot to start from; it is not modified.
        revision: Revision of the new snapshot.
        changes: Service name, document (None if deleted) and resource version of each change.

    Returns:
        The new snapshot, and the names of the services whose new document is invalid. Such a
        service keeps its previous version, if it has one.
    """
    documents = dict(previous.documents)
    resource_versions = dict(previous.resource_versions)
    services = dict(previous.services)
    rejected = []
    for name, document, resource_version in changes:
        if document is None:
            for table in (documents, resource_versions, services):
                table.pop(name, None)
            continue
        try:
            checked = check_service(msgspec.json.decode(document))
        except (msgspec.DecodeError, RecursionError):
            rejected.append(name)
            continue
        if checked.is_err():
            rejected.append(name)
            continue
        documents[name] = document
        resource_versions[name] = resource_version
        services[name] = checked.unwrap()
    return Snapshot(revision, documents, resource_versions, services), rejected
