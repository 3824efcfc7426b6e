"""What a gateway process learns at its start."""

from collections.abc import Mapping
from dataclasses import dataclass

from carawayvale.contracts.address import Address


@dataclass(frozen=True)
class Bounds:
    """Promises that the deployment makes; times in seconds.

    :param stable_s: time after a disruption until promises hold again.
    :param drain_s: time after which a leaving endpoint gets nothing.
    :param grace_s: time from a planned stop to the forced end.
    :param apply_s: time in which a configuration comes into force.
    :param retry_ratio: retries allowed for each request.
    :param retry_window_s: window over which retries are counted.
    :param retry_extra: retries allowed in a window besides.
    :param cold_factor: allowed excess over a cold endpoint's rate.
    :param cold_slack: requests allowed besides that.
    :param ttl_s: longest time that callers may keep a look-up.
    :param max_shift: greatest part of a region's requests that may
        move to other regions from one short window to the next.
    """

    stable_s: float = 3.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 120.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    ttl_s: float = 5.0
    max_shift: float = 0.15


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    :param name: name of the instance.
    :param region: its region.
    :param domain: its failure domain.
    :param regions: regions of all failure domains.
    :param callers: port for callers' requests.
    :param lookups: port for callers' look-ups.
    :param readiness: port for readiness checks.
    :param peers: port for links with other instances.
    :param internal: port for requests that other instances forward.
    :param metrics: port for metrics.
    :param seeds: peer ports of some other instances.
    :param store: address of the platform's store.
    :param bounds: promises of the deployment.
    :param cpu_share: part of a processor core that it may use.
    :param link_mbps: bandwidth of the instance's link.
    :param max_files: descriptors that it may use.
    """

    name: str
    region: str
    domain: str
    regions: Mapping[str, str]
    callers: Address
    lookups: Address
    readiness: Address
    peers: Address
    internal: Address
    metrics: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
    cpu_share: float = 1.0
    link_mbps: float = 1000.0
    max_files: int = 1024
