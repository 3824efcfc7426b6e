"""Counters and latency histograms in the Prometheus text format."""

from collections.abc import Iterator
from collections import Counter

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily
from prometheus_client import generate_latest
from prometheus_client.registry import Collector

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (0.5, 0.9, 0.99, 0.999)

HistogramKey = tuple[str, str]


def make_histogram() -> HdrHistogram:
    """Make an empty latency histogram in microseconds.

    :returns: the histogram.
    """
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Metrics(Collector):
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

    def collect(self) -> Iterator:
        """List all metric families.

        :returns: families for the exposition library.
        """
        yield from self._collect_counters()
        yield from self._collect_gauges()
        yield self._collect_latencies()

    def _collect_counters(self) -> Iterator[CounterMetricFamily]:
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), number in sorted(self.counters.items()):
            family = families.get(name)
            if family is None:
                family = CounterMetricFamily(
                    f"carawayvale_{name}", f"Number of {name}", labels=["kind"]
                )
                families[name] = family
            family.add_metric([label], number)
        yield from families.values()

    def _collect_gauges(self) -> Iterator[GaugeMetricFamily]:
        families: dict[str, GaugeMetricFamily] = {}
        for (name, label), value in sorted(self.gauges.items()):
            family = families.get(name)
            if family is None:
                family = GaugeMetricFamily(
                    f"carawayvale_{name}", f"Present {name}", labels=["kind"]
                )
                families[name] = family
            family.add_metric([label], value)
        yield from families.values()

    def _collect_latencies(self) -> SummaryMetricFamily:
        family = SummaryMetricFamily(
            "carawayvale_latency_seconds",
            "Latency by rank and hop",
            labels=["rank", "hop"],
        )
        for (rank, hop), histogram in sorted(self.histograms.items()):
            labels = {"rank": rank, "hop": hop}
            total = histogram.get_total_count()
            mean_s = histogram.get_mean_value() / US_PER_S
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                family.add_sample(
                    "carawayvale_latency_seconds",
                    {**labels, "quantile": str(quantile)},
                    value / US_PER_S,
                )
            name = "carawayvale_latency_seconds"
            family.add_sample(f"{name}_count", labels, total)
            family.add_sample(f"{name}_sum", labels, total * mean_s)
        return family

    def format_text(self) -> bytes:
        """Write all metrics in the Prometheus text format.

        :returns: the text.
        """
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
