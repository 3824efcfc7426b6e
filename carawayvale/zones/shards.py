"""Shards of endpoints and the entry instances that may own them."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayvale.contracts.document import Document
    from carawayvale.contracts.sections import Endpoint


@dataclass(frozen=True, order=True)
class Candidate:
    """An entry instance that may own shards.

    :param name: name of the instance.
    :param region: region of the instance.
    :param domain: failure domain of the instance.
    :param weight: part of the shards that it takes, relative to others.
    """

    name: str
    region: str
    domain: str
    weight: float = 1.0


@dataclass(frozen=True)
class Shard:
    """Endpoints of one service in one failure domain with one owner.

    :param name: ``service/domain/index``.
    :param service: name of the service.
    :param region: region of the endpoints.
    :param domain: failure domain of the endpoints.
    :param endpoints: the endpoints, at most the service's shard size.
    """

    name: str
    service: str
    region: str
    domain: str
    endpoints: "tuple[Endpoint, ...]"

    @property
    def slots(self) -> int:
        """Number of slots that the endpoints declare."""
        return sum(endpoint.slots for endpoint in self.endpoints)


def list_shards(document: "Document") -> tuple[Shard, ...]:
    """Split the endpoints of the document into shards of bounded size.

    A shard has endpoints of one service in one failure domain only, at
    most as many as the service's shard size.

    :param document: the document in force.
    :returns: the shards, ordered by service, failure domain and index.
    """
    groups: "dict[tuple[str, str], list[Endpoint]]" = {}
    for endpoint in document.by_kind["endpoint"].values():
        key = (endpoint.service, endpoint.domain)
        groups.setdefault(key, []).append(endpoint)
    shards = []
    for (service, domain), endpoints in sorted(groups.items()):
        endpoints.sort(key=lambda endpoint: endpoint.name)
        size = document.by_kind["service"][service].shard_size
        for start in range(0, len(endpoints), size):
            shards.append(
                Shard(
                    f"{service}/{domain}/{start // size}",
                    service,
                    endpoints[0].region,
                    domain,
                    tuple(endpoints[start : start + size]),
                )
            )
    return tuple(shards)
