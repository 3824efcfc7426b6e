"""Skip endpoints that will not serve a request within its objective.

Owners report the expected wait at an endpoint with each result that they
return. An entry instance keeps a report for a short time, and asks the
endpoints that are expected to have room instead of asking one full endpoint
after the other.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import re

from carawayvale.catalogue.records import EndpointRecord

# A report is used for this long. Runs take about a second, so an older one
# describes requests that have ended.
MAX_AGE_S = 1.0

# Reports are kept for the ranks below this one; later ranks share its place.
MAX_RANKS = 8

# The longest wait that is reported. Every deadline is shorter.
MAX_WAIT_S = 600.0

MS_PER_S = 1000.0

REPORT = re.compile(rb"\d{1,6}(,\d{1,6}){5}(,.*)?", re.ASCII)


@dataclass(frozen=True)
class ExpectedWait:
    """Load of an endpoint, as its owner expects it.

    :param running: number of requests that the owner has there.
    :param waiting: number of requests that wait at the owner.
    :param slots: number of slots that others leave to the owner.
    :param wait_s: expected wait of a request of the rank of the request
        that the result is for.
    :param warm_s: service time for a warm object; 0 if it is not known.
    :param new_s: service time for a new object; 0 if it is not known.
    """

    running: int
    waiting: int
    slots: int
    wait_s: float
    warm_s: float = 0.0
    new_s: float = 0.0

    def format(self) -> bytes:
        """Format the report as the text of a header.

        :returns: the fields, times in milliseconds.
        """
        times = (self.wait_s, self.warm_s, self.new_s)
        times_ms = [int(min(MAX_WAIT_S, t) * MS_PER_S) for t in times]
        return b"%d,%d,%d,%d,%d,%d" % (
            self.running,
            self.waiting,
            self.slots,
            *times_ms,
        )


def parse_wait(value: bytes | None) -> ExpectedWait | None:
    """Parse the text of a report.

    :param value: the text; further fields of later versions are ignored.
    :returns: the report; None if the text is missing or malformed.

    >>> parse_wait(b"5,1,6,200,300,900").wait_s
    0.2
    >>> parse_wait(b"5,1,6") is None
    True
    """
    if value is None or not REPORT.fullmatch(value):
        return None
    numbers = [int(field) for field in value.split(b",")[:6]]
    times_s = [number / MS_PER_S for number in numbers[3:]]
    return ExpectedWait(*numbers[:3], *times_s)


class ExpectedWaits:
    """Latest reports of owners, as one instance received them."""

    def __init__(self):
        self._reports: dict[str, list[tuple[float, ExpectedWait] | None]] = {}

    def record(
        self, name: str, rank: int, report: ExpectedWait, now_s: float
    ) -> None:
        """Record a report.

        :param name: name of the endpoint.
        :param rank: rank of the request that it came with.
        :param report: the report.
        :param now_s: the time.
        """
        by_rank = self._reports.setdefault(name, [None] * MAX_RANKS)
        by_rank[_limit_rank(rank)] = (now_s, report)

    def forget(self, name: str) -> None:
        """Forget the reports of an endpoint that is gone.

        :param name: name of the endpoint.
        """
        self._reports.pop(name, None)

    def _list_fresh(
        self, name: str, rank: int, now_s: float
    ) -> list[tuple[float, ExpectedWait]]:
        """List the reports that concern a rank, with the waits left now.

        A request waits for those of its own and of more urgent ranks. A wait
        that was reported for a less urgent rank says nothing about it.
        """
        by_rank = self._reports.get(name, ())
        return [
            (max(0.0, known[1].wait_s - (now_s - known[0])), known[1])
            for known in by_rank[: _limit_rank(rank) + 1]
            if known is not None and now_s - known[0] < MAX_AGE_S
        ]

    def find_finish(
        self, name: str, rank: int, objective_s: float, now_s: float
    ) -> float | None:
        """Find when a request would be complete if that is too late.

        :param name: name of the endpoint.
        :param rank: rank of the request.
        :param objective_s: latency objective, as a time.
        :param now_s: the time.
        :returns: seconds until a request for a warm object would be
            complete; None if it would meet the objective, or if that is
            not known.
        """
        finish_s = max(
            (
                wait_s + report.warm_s
                for wait_s, report in self._list_fresh(name, rank, now_s)
            ),
            default=None,
        )
        if finish_s is None or now_s + finish_s <= objective_s:
            return None
        return finish_s

    def has_room(
        self, name: str, rank: int, objective_s: float, now_s: float
    ) -> bool:
        """Tell whether a request for a new object is known to be in time.

        :param name: name of the endpoint.
        :param rank: rank of the request.
        :param objective_s: latency objective, as a time.
        :param now_s: the time.
        :returns: whether it is.
        """
        finish_times_s = [
            wait_s + report.new_s
            for wait_s, report in self._list_fresh(name, rank, now_s)
            if report.new_s
        ]
        if not finish_times_s:
            return False
        return now_s + max(finish_times_s) <= objective_s


def _limit_rank(rank: int) -> int:
    return min(max(0, rank), MAX_RANKS - 1)


def choose_candidates(
    endpoints: Sequence[EndpointRecord],
    number: int,
    is_late: Callable[[str], bool],
    has_room: Callable[[str], bool],
) -> list[EndpointRecord]:
    """Choose the endpoints that are considered for a request, in order.

    :param endpoints: the endpoints in the order for the object.
    :param number: number of endpoints to ask.
    :param is_late: tells whether the request would miss its objective at an
        endpoint.
    :param has_room: tells whether an endpoint is known to serve it in time
        although it does not keep the object.
    :returns: the first endpoints; for each of them at which the request
        would miss its objective, a further one that has room.
    """
    first = list(endpoints[:number])
    missing = sum(is_late(endpoint.name) for endpoint in first)
    if missing:
        further = (e for e in endpoints[number:] if has_room(e.name))
        first += [e for e, _ in zip(further, range(missing))]
    return first
