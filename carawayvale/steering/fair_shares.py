"""Order the requests of one queue by start-time fair queueing.

Each organisation has a line of requests for each class and rank. A request
starts in the order of its virtual start time, which follows the end of the
previous one of its line. If the line was empty, it is the virtual time of the
queue less a head start. The virtual length of a request is its service time
divided by the weight of its organisation.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import math
from typing import Protocol

from carawayvale.catalogue.records import OrganisationRecord

# Part of its share of the demand that an organisation gets at least. With a
# third, none is served less than a quarter as often as all: the weights then
# sum to at most 4/3.
DEMAND_FRACTION = 1.0 / 3.0

# Requests by which a line that was empty may be ahead of its share. Requests
# arrive at random times, and those of a small organisation would otherwise
# wait for its next turn whenever two arrive together.
HEAD_START_REQUESTS = 2.0

# Time constant of the shares of the demand.
DEMAND_WINDOW_S = 5.0

# Organisations whose demand is lower are forgotten.
MIN_DEMAND = 0.01

# Virtual length of requests whose service time is not known.
MIN_LENGTH_S = 0.001


class Queued(Protocol):
    """The fields of a queued request that decide its order."""

    organisation: str
    rank: int
    queue_class: int
    queued_s: float
    service_time_s: float


LineKey = tuple[int, int, str]


@dataclass
class Line:
    """The requests of one organisation, class and rank.

    :param finish: virtual end of the last one that started.
    :param base: virtual start of the first one that waits; None if none
        waits.
    """

    finish: float = -math.inf
    base: float | None = None


def find_weights(
    organisations: Mapping[str, OrganisationRecord],
) -> Mapping[str, float]:
    """Find the weights of all organisations.

    :param organisations: the organisations by name.
    :returns: the contracted rate, or the mean rate for organisations
        without one; empty if no organisation has one.

    >>> find_weights({"a": OrganisationRecord("a", (), rate_per_s=4.0),
    ...     "b": OrganisationRecord("b", ())})
    {'a': 4.0, 'b': 4.0}
    """
    rates = [o.rate_per_s for o in organisations.values() if o.rate_per_s]
    if not rates:
        return {}
    mean = sum(rates) / len(rates)
    return {n: o.rate_per_s or mean for n, o in organisations.items()}


def _read_arrival(request: Queued) -> float:
    return request.queued_s


def _find_length(request: Queued) -> float:
    return max(MIN_LENGTH_S, request.service_time_s)


class FairShares:
    """Virtual times of the organisations at one queue.

    :param weights: weights by name of the organisation; others, such as
        requests without an organisation, have the mean weight.
    """

    def __init__(self, weights: Mapping[str, float]):
        self.set_weights(weights)
        self._lines: dict[LineKey, Line] = {}
        self._active: set[LineKey] = set()
        self._times: dict[tuple[int, int], float] = {}
        self._demand: dict[str, float] = {}
        self._demand_s = 0.0
        self._total_demand = 0.0
        self._active_weight = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply the weights of another configuration.

        :param weights: weights by name of the organisation.
        """
        self.weights = weights
        self.mean = sum(weights.values()) / len(weights)

    def record_demand(self, organisation: str, now_s: float) -> None:
        """Record a request that was offered to the queue.

        :param organisation: name of the organisation.
        :param now_s: the time.
        """
        passed_s = now_s - self._demand_s
        if passed_s > 0.1 * DEMAND_WINDOW_S:
            factor = math.exp(-passed_s / DEMAND_WINDOW_S)
            self._demand = {
                name: value * factor
                for name, value in self._demand.items()
                if value * factor > MIN_DEMAND
            }
            self._demand_s = now_s
            self._total_demand = sum(self._demand.values())
            self._active_weight = sum(map(self._find_contract, self._demand))
        demand = self._demand.get(organisation)
        if demand is None:
            self._active_weight += self._find_contract(organisation)
        self._demand[organisation] = (demand or 0.0) + 1.0
        self._total_demand += 1.0

    def _find_contract(self, organisation: str) -> float:
        return self.weights.get(organisation, self.mean)

    def find_weight(self, organisation: str) -> float:
        """Find the share of an organisation among those with demand.

        :param organisation: name of the organisation.
        :returns: its contracted share, or a part of its share of the demand
            if that is larger.
        """
        contract = self._find_contract(organisation)
        share = contract / max(self._active_weight, contract)
        demand = self._demand.get(organisation, 0.0)
        if demand:
            demand /= self._total_demand
        return max(share, DEMAND_FRACTION * demand)

    def order(self, waiting: Iterable[Queued]) -> list[Queued]:
        """Order the waiting requests as they are to start.

        :param waiting: the requests in the order of their arrival.
        :returns: the requests, by class, rank and virtual start.
        """
        lines: dict[LineKey, list[Queued]] = {}
        for request in waiting:
            key = (request.queue_class, request.rank, request.organisation)
            line = lines.get(key)
            if line is None:
                lines[key] = [request]
            else:
                line.append(request)
        self._follow_lines(lines)
        ordered = []
        for key, requests in lines.items():
            start = self._lines[key].base or 0.0
            queue_class, rank, organisation = key
            if len(requests) > 1:
                requests.sort(key=_read_arrival)
                weight = self.find_weight(organisation)
            for request in requests:
                number = len(ordered)
                tag = (queue_class, rank, start, request.queued_s, number)
                ordered.append((tag, request))
                if len(requests) > 1:
                    start += _find_length(request) / weight
        ordered.sort()
        return [request for _, request in ordered]

    def _follow_lines(self, lines: Mapping[LineKey, Sequence[Queued]]) -> None:
        """Begin lines that got requests, and end those without any."""
        for key in self._active - lines.keys():
            self._lines[key].base = None
        self._active = set(lines)
        for key, requests in lines.items():
            line = self._lines.setdefault(key, Line())
            if line.base is None:
                time = self._times.get(key[:2], 0.0)
                length = _find_length(requests[0])
                lead = HEAD_START_REQUESTS * length / self.find_weight(key[2])
                line.base = max(time - lead, line.finish)

    def record_start(self, request: Queued) -> None:
        """Record that the first request of its line starts.

        :param request: the request.
        """
        group = (request.queue_class, request.rank)
        line = self._lines[*group, request.organisation]
        start = line.base or 0.0
        self._times[group] = max(start, self._times.get(group, 0.0))
        weight = self.find_weight(request.organisation)
        line.finish = line.base = start + _find_length(request) / weight

    def reset(self) -> None:
        """Forget the past, since the queue is idle."""
        self._lines.clear()
        self._active.clear()
        self._times.clear()
