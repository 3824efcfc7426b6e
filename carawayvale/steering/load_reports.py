"""Evaluate what an endpoint reports of its load and of its machine's pace.

An endpoint reports how many requests it runs and holds waiting, and may
report the pace of its machine: how long work takes there now, relative to
an undisturbed machine. The reports include the owner's own requests, so
only the excess over these is the work of others.

The pace changes many times a second, while a run takes about a second and
is exposed to the mean pace of that time. So a report says little about a
run that starts after it, and a moving mean says more.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import math
import re

# Pace of an undisturbed machine in a report.
USUAL_PACE = 100.0

# Reports beyond these bounds are absurd and are ignored.
MIN_REPORTED_PACE = 10
MAX_REPORTED_PACE = 5000
MAX_REPORTED_REQUESTS = 100_000

# A deviation of the pace from its mean fades with this time constant. It
# changes many times a second, so that little of it is left after 0.1 s.
PACE_TIME_CONSTANT_S = 0.1

# Time constant of the moving mean of the pace. In the simulated paces of
# tests/test_load_reports.py, 0.75 s and 1.5 s were no better at any rate of
# reports from 2 to 20 per second.
PACE_MEAN_S = 1.0

# Without reports for the first time, the mean returns to that of an
# undisturbed machine with the second as time constant. Otherwise an endpoint
# that was slow once would get no request whose response could report that
# it no longer is. A return at once biased the means of endpoints with two
# reports per second by 5 %.
PACE_HOLD_S = 2.0
PACE_RETURN_S = 5.0

# The reports of this long are kept for runs that end.
HISTORY_S = 8.0
MAX_HISTORY = 128

# The pace of a run is the mean of the reports during it and of this many
# times the moving mean.
PRIOR_REPORTS = 2

# The work of others fades with this time constant without a report; it is
# in the order of the runs that it consists of.
OTHERS_TIME_CONSTANT_S = 1.0

# Weight of a new report in the mean number of requests of others.
OTHERS_WEIGHT = 0.5

REPORT = re.compile(rb"\d{1,6},\d{1,6},\d{1,6}(,\d{1,6})?", re.ASCII)


@dataclass(frozen=True)
class LoadReport:
    """Load of an endpoint, as it reports it.

    :param running: number of requests that it runs.
    :param waiting: number of requests that wait there.
    :param slots: number of requests that it can run at once.
    :param pace: duration of work relative to an undisturbed machine; None
        if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


def parse_load(value: bytes) -> LoadReport | None:
    """Parse the text of a load report.

    :param value: the text.
    :returns: the report; None if the text is malformed or absurd.

    >>> parse_load(b"3,0,9,150")
    LoadReport(running=3, waiting=0, slots=9, pace=1.5)
    >>> parse_load(b"3,0") is None
    True
    """
    if not REPORT.fullmatch(value.strip()):
        return None
    running, waiting, slots, *pace = map(int, value.split(b","))
    if max(running, waiting, slots) > MAX_REPORTED_REQUESTS or not slots:
        return None
    if not pace:
        return LoadReport(running, waiting, slots)
    if not MIN_REPORTED_PACE <= pace[0] <= MAX_REPORTED_PACE:
        return None
    return LoadReport(running, waiting, slots, pace[0] / USUAL_PACE)


@dataclass
class EndpointLoad:
    """Load of one process of an endpoint, from its reports to its owner.

    Reports without a pace are not used.

    :param report: the latest report; None before the first.
    :param reported_s: time of the latest report.
    :param mean_pace: moving mean of the pace.
    :param others: moving mean of the number of requests that others have
        there.
    :param paces: times and paces of the latest reports.
    """

    report: LoadReport | None = None
    reported_s: float = 0.0
    mean_pace: float = 1.0
    others: float = 0.0
    paces: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY)
    )

    @property
    def has_pace(self) -> bool:
        """Whether the endpoint reports the pace of its machine."""
        return self.report is not None

    def record(self, report: LoadReport, own: int, now_s: float) -> None:
        """Record a report.

        :param report: the report.
        :param own: number of requests that the owner had there when the
            response with the report arrived, with the one that was run
            for the response.
        :param now_s: the time.
        """
        if report.pace is None:
            return
        others = max(0, report.running + report.waiting - own)
        if self.report is None:
            self.mean_pace, self.others = report.pace, float(others)
        else:
            elapsed_s = max(0.0, now_s - self.reported_s)
            mean = self._find_mean(now_s)
            weight = 1.0 - math.exp(-elapsed_s / PACE_MEAN_S)
            self.mean_pace = mean + weight * (report.pace - mean)
            known = self._find_others(now_s)
            self.others = known + OTHERS_WEIGHT * (others - known)
        self.report, self.reported_s = report, now_s
        self.paces.append((now_s, report.pace))
        while self.paces[0][0] < now_s - HISTORY_S:
            self.paces.popleft()

    def _find_mean(self, now_s: float) -> float:
        silent_s = now_s - self.reported_s - PACE_HOLD_S
        if silent_s <= 0:
            return self.mean_pace
        fade = math.exp(-silent_s / PACE_RETURN_S)
        return 1.0 + fade * (self.mean_pace - 1.0)

    def _find_others(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.reported_s)
        return self.others * math.exp(-age_s / OTHERS_TIME_CONSTANT_S)

    def predict_pace(self, run_s: float, now_s: float) -> float:
        """Predict the mean pace of a run that starts now.

        :param run_s: duration of the run on an undisturbed machine.
        :param now_s: the time.
        :returns: the pace; 1 without a report.
        """
        if self.report is None:
            return 1.0
        mean = self._find_mean(now_s)
        age_s = max(0.0, now_s - self.reported_s)
        runs = max(run_s, 0.001) / PACE_TIME_CONSTANT_S
        # Mean of the fading deviation over the run.
        weight = (
            math.exp(-age_s / PACE_TIME_CONSTANT_S) * -math.expm1(-runs) / runs
        )
        return mean + weight * (self.report.pace - mean)

    def measure_pace(self, start_s: float, now_s: float) -> float:
        """Estimate the mean pace of a run that ends now.

        :param start_s: time at which the run began.
        :param now_s: the time.
        :returns: the pace; 1 without a report.
        """
        if self.report is None:
            return 1.0
        total = PRIOR_REPORTS * self._find_mean(now_s)
        number = PRIOR_REPORTS
        for time_s, pace in reversed(self.paces):
            if time_s < start_s:
                break
            total += pace
            number += 1
        return total / number

    def count_others(self, now_s: float) -> int:
        """Estimate how many requests of others the endpoint has.

        :param now_s: the time.
        :returns: their number.
        """
        if self.report is None:
            return 0
        return round(self._find_others(now_s))
