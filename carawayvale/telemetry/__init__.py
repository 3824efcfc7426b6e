"""Logs, metrics and traces."""

from carawayvale.telemetry.logs import format_event
from carawayvale.telemetry.logs import format_value
from carawayvale.telemetry.logs import log_event
from carawayvale.telemetry.logs import start_logs
from carawayvale.telemetry.metrics import make_histogram
from carawayvale.telemetry.metrics import Metrics
from carawayvale.telemetry.traces import describe_span
from carawayvale.telemetry.traces import RingExporter
from carawayvale.telemetry.traces import Tracing

__all__ = (
    "describe_span",
    "format_event",
    "format_value",
    "log_event",
    "make_histogram",
    "Metrics",
    "RingExporter",
    "start_logs",
    "Tracing",
)
