"""Writes metrics in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import SummaryMetricFamily
from prometheus_client import generate_latest
from prometheus_client.registry import Collector

from carawayvale.telemetry.metrics import Metrics
from carawayvale.telemetry.metrics import US_PER_S

QUANTILES = (0.5, 0.9, 0.99, 0.999)


class MetricsCollector(Collector):
    """Hands the metrics of a process to the exposition library.

    :param metrics: the metrics.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics

    def collect(self) -> Iterator:
        """List all metric families.

        :returns: families for the exposition library.
        """
        yield from self._collect_counters()
        yield from self._collect_gauges()
        yield self._collect_latencies()

    def _collect_counters(self) -> Iterator[CounterMetricFamily]:
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), number in sorted(self.metrics.counters.items()):
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
        for (name, label), value in sorted(self.metrics.gauges.items()):
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
        for (rank, hop), histogram in sorted(self.metrics.histograms.items()):
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


def format_metrics(metrics: Metrics) -> bytes:
    """Write all metrics in the Prometheus text format.

    :param metrics: the metrics.
    :returns: the text.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
