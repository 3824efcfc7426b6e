"""Logs, metrics and traces."""

from carawayvale.exports import list_names
from carawayvale.exports import make_getattr

MODULES = {
    "exposition": (
        "collect_families",
        "format_metrics",
        "MetricsCollector",
    ),
    "logs": (
        "capture_library_logs",
        "format_event",
        "format_place",
        "format_value",
        "LibraryHandler",
        "log_event",
        "start_logs",
    ),
    "metrics": (
        "make_histogram",
        "Metrics",
    ),
    "traces": (
        "describe_span",
        "RingBufferExporter",
        "Tracing",
    ),
}

__all__ = list_names(MODULES)
__getattr__ = make_getattr(__name__, MODULES)
