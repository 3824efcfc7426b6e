"""Export of metrics in the Prometheus text exposition format."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import Metric
from prometheus_client.core import SummaryMetricFamily
from prometheus_client import generate_latest
from prometheus_client.registry import Collector

from carawayvale.telemetry.metrics import Metrics
from carawayvale.telemetry.metrics import US_PER_S

QUANTILES = (0.5, 0.9, 0.99, 0.999)
HELP_TEXTS = {
    CounterMetricFamily: "Number since the start",
    GaugeMetricFamily: "Present value",
}


class MetricsCollector(Collector):
    """Collector that exports the metrics of a process to prometheus_client.

    :param metrics: metrics of the process.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics

    def collect(self) -> Iterator:
        """Yield all metric families.

        :returns: families of counters, gauges and latencies.
        """
        metrics = self.metrics
        yield from collect_families(metrics.counters, CounterMetricFamily)
        yield from collect_families(metrics.gauges, GaugeMetricFamily)
        yield self._collect_latencies()

    def _collect_latencies(self) -> SummaryMetricFamily:
        family = SummaryMetricFamily(
            "carawayvale_latency_seconds",
            "Latency by rank and hop",
            labels=["rank", "hop"],
        )
        for (rank, hop), histogram in sorted(self.metrics.histograms.items()):
            labels = {"rank": rank, "hop": hop}
            count = histogram.get_total_count()
            mean_s = histogram.get_mean_value() / US_PER_S
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                family.add_sample(
                    "carawayvale_latency_seconds",
                    {**labels, "quantile": str(quantile)},
                    value / US_PER_S,
                )
            name = "carawayvale_latency_seconds"
            family.add_sample(f"{name}_count", labels, count)
            family.add_sample(f"{name}_sum", labels, count * mean_s)
        return family


def collect_families(
    values: Mapping[tuple[str, str], float],
    family_class: type[CounterMetricFamily | GaugeMetricFamily],
) -> Iterable[Metric]:
    """Group values into one metric family for each metric name.

    :param values: values by metric name and label ``kind``.
    :param family_class: class of the families.
    :returns: the families, sorted by name.
    """
    families: dict[str, Metric] = {}
    for (name, kind), value in sorted(values.items()):
        if name not in families:
            full_name = f"carawayvale_{name}"
            families[name] = family_class(
                full_name, HELP_TEXTS[family_class], labels=["kind"]
            )
        families[name].add_metric([kind], value)
    return families.values()


def format_metrics(metrics: Metrics) -> bytes:
    """Format all metrics in the Prometheus text exposition format.

    :param metrics: metrics of the process.
    :returns: the encoded text.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
