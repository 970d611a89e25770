"""One configuration version: the services in force at one revision of the store."""

from collections.abc import Iterable

import msgspec

from godwitway.version._service import Kind, Service, Target, check_service

__all__ = ["EMPTY_SNAPSHOT", "Snapshot", "build_snapshot"]


class Snapshot:
    """All services at one revision, indexed for the packet path.

    Attributes:
        revision: The store's revision.
        documents: The JSON document of each service, by name.
        resource_versions: The resource version of each service, by name.
        services: The checked services, by name.
        addresses: The packed addresses of all services.
        endpoints: Packed address, port and protocol to service and kind.
        targets: Packed target address to service and target.
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

    def find_kind(self, key: bytes) -> tuple[Service, Kind] | None:
        """Return the service and kind that a flow key belongs to."""
        return self.kinds_by_endpoint.get(key[4:8] + key[10:13])


EMPTY_SNAPSHOT = Snapshot(0, {}, {}, {})


def build_snapshot(
    previous: Snapshot,
    revision: int,
    changes: Iterable[tuple[str, bytes | None, int]],
) -> tuple[Snapshot, list[str]]:
    """Apply changed documents to a snapshot.

    Args:
        previous: The snapshot to start from.
        revision: The revision of the new snapshot.
        changes: Name, document (None when deleted) and resource version of each change.

    Returns:
        The new snapshot and the names of the services whose document was not valid and
        whose earlier version stays in force.
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
        except msgspec.DecodeError:
            rejected.append(name)
            continue
        if checked.is_err():
            rejected.append(name)
            continue
        documents[name] = document
        resource_versions[name] = resource_version
        services[name] = checked.unwrap()
    return Snapshot(revision, documents, resource_versions, services), rejected
