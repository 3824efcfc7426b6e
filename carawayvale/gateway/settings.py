"""Settings of a gateway process."""

from collections.abc import Mapping
from dataclasses import dataclass
import math

from carawayvale.contracts.address import Address
from carawayvale.gateway.process_memory import PROCESS_SHARE
from carawayvale.gateway.request_parser import MAX_HEAD_LINES


@dataclass(frozen=True)
class Bounds:
    """Bounds that the deployment guarantees; times in seconds.

    :param stable_s: time after a disruption until the bounds hold again.
    :param drain_s: time after which a draining endpoint gets no requests.
    :param grace_s: time from the request to stop until the process is
        ended by force.
    :param apply_s: time within which a configuration comes into force.
    :param retry_ratio: retries allowed per request.
    :param retry_window_s: sliding window over which retries are counted.
    :param retry_extra: additional retries allowed per window.
    :param cold_factor: factor by which the rate of a cold endpoint may be
        exceeded.
    :param cold_slack: additional requests allowed at a cold endpoint.
    :param ttl_s: longest time to live of a look-up.
    :param max_shift: largest share of a region's requests that may
        shift to other regions from one short window to the next.
    :param revoke_s: age of the configuration up to which a key counts;
        infinity if a removed key may be accepted for longer.
    :param quota_window_s: sliding window over which the requests of an
        organisation are counted.
    :param quota_excess: share by which a quota may be exceeded.
    :param quota_slack: additional requests allowed per window.
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
    revoke_s: float = math.inf
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    :param name: name of the instance.
    :param region: region of the instance.
    :param domain: failure domain of the instance.
    :param regions: by failure domain, its region.
    :param callers: address for callers' requests.
    :param lookups: address for callers' look-ups.
    :param readiness: address for readiness checks.
    :param peers: address for links with other instances.
    :param internal: address for requests that other instances forward.
    :param metrics: address for metrics and state.
    :param seeds: peer addresses of some other instances.
    :param store: address of the platform's store.
    :param bounds: bounds of the deployment.
    :param cpu_share: share of a processor core for the process.
    :param link_mbps: bandwidth of the network link in Mbit/s.
    :param memory_mb: memory of the process in MB; 0 if it is not limited.
    :param max_files: maximum number of file descriptors of the process.
    :param message_share: fraction of the memory for messages.
    :param max_head_lines: maximum number of lines of the head of a caller's
        request.
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
    memory_mb: float = 0.0
    max_files: int = 1024
    message_share: float = PROCESS_SHARE
    max_head_lines: int = MAX_HEAD_LINES
