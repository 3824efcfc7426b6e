"""Measure and log how much of an instance is in use."""

from collections.abc import Mapping

from carawayvale.capacity.own_delay import OwnDelay
from carawayvale.contracts.clock import read_boot_clock
from carawayvale.gateway.observer import format_ms
from carawayvale.gateway.observer import RequestObserver
from carawayvale.telemetry.logs import log_event

LOG_INTERVAL_S = 2.0

BYTES_PER_KB = 1000

# Counters whose growth the log line shows, and the one of which it shows each
# label.
COUNTERS = ("requests", "attempts", "hops", "unserved", "quota_calls")
REGION_COUNTER = "sent_requests"


def find_growth(
    totals: Mapping[str, int], last: Mapping[str, int]
) -> dict[str, int]:
    """Find by how much totals have grown.

    :param totals: the totals by name.
    :param last: earlier totals; absent ones were 0.
    :returns: the differences by name.
    """
    return {name: total - last.get(name, 0) for name, total in totals.items()}


class LoadMonitor:
    """Measurements of the event loop and the link of the process.

    :param observer: recorder of metrics.
    :param own_delay: link and event loop of the process.
    """

    def __init__(self, observer: RequestObserver, own_delay: OwnDelay):
        self.observer = observer
        self.own_delay = own_delay
        self.link = own_delay.link
        self.loop_lag = own_delay.loop_lag
        self.worst_queue_s = 0.0
        self.worst_receive_share = 0.0
        self._logged_s = read_boot_clock()
        self._totals: dict[str, int] = {}
        self._sent: dict[str, int] = {}

    def sample(self, delay_s: float, now_s: float) -> None:
        """Take one measurement, and log if that is due.

        :param delay_s: delay of a timer in seconds.
        :param now_s: the time.
        """
        self.loop_lag.record(delay_s)
        self.own_delay.observe(now_s)
        queue_s = self.link.find_queue(now_s)
        self.worst_queue_s = max(self.worst_queue_s, queue_s)
        share = self.link.find_receive_share(now_s)
        self.worst_receive_share = max(self.worst_receive_share, share)
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._log(now_s)

    def _log(self, now_s: float) -> None:
        """Log the greatest values and the growth since the last line."""
        self._logged_s = now_s
        lag_s, queue_s = self.loop_lag.take_worst(), self.worst_queue_s
        metrics = self.observer.metrics
        metrics.set_gauge("loop_lag_s", "", lag_s)
        metrics.set_gauge("link_queue_s", "", queue_s)
        metrics.set_gauge("link_received", "", self.worst_receive_share)
        log_event(
            "instance_load",
            loop_lag_ms=format_ms(lag_s),
            link_queue_ms=format_ms(queue_s),
            link_received=round(self.worst_receive_share, 2),
            **self._measure_growth(),
            regions=self._format_regions(),
        )
        self.worst_queue_s = self.worst_receive_share = 0.0

    def _measure_growth(self) -> Mapping[str, int]:
        """Measure the growth of counters since the last call."""
        totals = {
            "sent_kb": self.link.sent_bytes // BYTES_PER_KB,
            "received_kb": self.link.received_bytes // BYTES_PER_KB,
        }
        counters = self.observer.metrics.counters
        for wanted in COUNTERS:
            totals[wanted] = sum(
                number
                for (name, _), number in counters.items()
                if name == wanted
            )
        last, self._totals = self._totals, totals
        return find_growth(totals, last)

    def _format_regions(self) -> str:
        """Format how many requests were sent to each region since last."""
        counters = self.observer.metrics.counters
        totals = {
            region: number
            for (name, region), number in sorted(counters.items())
            if name == REGION_COUNTER
        }
        last, self._sent = self._sent, totals
        growth = find_growth(totals, last)
        return ",".join(f"{k}:{v}" for k, v in growth.items() if v) or "-"
