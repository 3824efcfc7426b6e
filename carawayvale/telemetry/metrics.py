"""Counters, gauges and latency histograms of one process."""

from collections import Counter
from importlib import import_module

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000

HistogramKey = tuple[str, str]


def make_histogram() -> HdrHistogram:
    """Make an empty latency histogram in microseconds.

    :returns: the histogram.
    """
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Metrics:
    """Counts events and records latencies by rank and hop.

    >>> metrics = Metrics()
    >>> metrics.count("answers", "urgent")
    >>> metrics.counters["answers", "urgent"]
    1
    """

    def __init__(self):
        self.histograms: dict[HistogramKey, HdrHistogram] = {}
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[tuple[str, str], float] = {}

    def record(self, rank: str, hop: str, took_s: float) -> None:
        """Record a latency.

        :param rank: rank of the request.
        :param hop: part of the way.
        :param took_s: seconds.
        """
        histogram = self.histograms.get((rank, hop))
        if histogram is None:
            histogram = make_histogram()
            self.histograms[rank, hop] = histogram
        histogram.record_value(max(LOWEST_US, int(took_s * US_PER_S)))

    def count(self, name: str, label: str = "", number: int = 1) -> None:
        """Count events.

        :param name: name of the counter.
        :param label: what tells its values apart.
        :param number: how many.
        """
        self.counters[name, label] += number

    def set_gauge(self, name: str, label: str, value: float) -> None:
        """Set a value that rises and falls.

        :param name: name of the gauge.
        :param label: what tells its values apart.
        :param value: the value.
        """
        self.gauges[name, label] = value

    def format_text(self) -> bytes:
        """Write all metrics in the Prometheus text format.

        :returns: the text.
        """
        # The library costs a tenth of a second and 12 MB; a process that
        # nobody asks does without it.
        exposition = import_module("carawayvale.telemetry.exposition")
        return exposition.format_metrics(self)
