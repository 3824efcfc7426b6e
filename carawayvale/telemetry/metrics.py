"""Counters, gauges and latency histograms of one process."""

from collections import Counter
from importlib import import_module

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000

HistogramKey = tuple[str, str]


def make_histogram() -> HdrHistogram:
    """Make an empty histogram of latencies in microseconds.

    :returns: the histogram.
    """
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class Metrics:
    """Counters, gauges, and latency histograms by rank and hop.

    A counter or gauge is identified by its name and the value of its
    label ``kind``.

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
        :param hop: the measured section of the request's path, such as
            ``caller`` or ``queue``.
        :param took_s: latency in seconds.
        """
        histogram = self.histograms.get((rank, hop))
        if histogram is None:
            histogram = make_histogram()
            self.histograms[rank, hop] = histogram
        histogram.record_value(max(MIN_LATENCY_US, int(took_s * US_PER_S)))

    def count(self, name: str, label: str = "", number: int = 1) -> None:
        """Increase a counter.

        :param name: name of the counter.
        :param label: value of the label ``kind``.
        :param number: number of events to add.
        """
        self.counters[name, label] += number

    def set_gauge(self, name: str, label: str, value: float) -> None:
        """Set a gauge.

        :param name: name of the gauge.
        :param label: value of the label ``kind``.
        :param value: the new value.
        """
        self.gauges[name, label] = value

    def format_text(self) -> bytes:
        """Format all metrics in the Prometheus text exposition format.

        :returns: the encoded text.
        """
        # Importing prometheus_client takes a tenth of a second and 12 MB.
        # Processes whose metrics are never read do not import it.
        exposition = import_module("carawayvale.telemetry.exposition")
        return exposition.format_metrics(self)
