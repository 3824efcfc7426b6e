"""Tell a few failing endpoints from a service that fails everywhere.

Requests go around an endpoint that fails more than others do. If most
endpoints of a service fail alike, there is nothing to go around: a request
that leaves the endpoint which keeps its object takes several times as long
elsewhere, and fails there as often.
"""

from dataclasses import dataclass
from dataclasses import field

# A report about an endpoint is used for this long.
MAX_AGE_S = 2.0

# Least number of endpoints with a report, and the share of them that has to
# fail, for a failure that is common to the service.
MIN_REPORTS = 3
MIN_FAILING_SHARE = 0.5


@dataclass
class CommonFailures:
    """Reports whether the endpoints of one service fail, at one instance.

    :param reports: by endpoint, whether it fails and the time of that
        report.

    >>> failures = CommonFailures()
    >>> for name in ("i-1", "i-2", "i-3"):
    ...     failures.record(name, name != "i-3", 1.0)
    >>> failures.are_common(1.5), failures.are_common(5.0)
    (True, False)
    """

    reports: dict[str, tuple[bool, float]] = field(default_factory=dict)

    def record(self, name: str, failing: bool, now_s: float) -> None:
        """Record what the owner of an endpoint reports.

        :param name: name of the endpoint.
        :param failing: whether it fails many requests.
        :param now_s: the time.
        """
        self.reports.pop(name, None)
        self.reports[name] = (failing, now_s)

    def are_common(self, now_s: float) -> bool:
        """Tell whether most endpoints of the service fail.

        :param now_s: the time.
        :returns: whether they do, as far as this instance knows.
        """
        self._drop_old(now_s)
        if len(self.reports) < MIN_REPORTS:
            return False
        failing = sum(failing for failing, _ in self.reports.values())
        return failing >= MIN_FAILING_SHARE * len(self.reports)

    def _drop_old(self, now_s: float) -> None:
        """Drop the reports that are too old; the oldest come first."""
        for name, (_, reported_s) in list(self.reports.items()):
            if now_s - reported_s < MAX_AGE_S:
                return
            del self.reports[name]
