"""Trace spans, one for each hop, kept in a bounded buffer."""

from collections.abc import Iterable
from collections.abc import Sequence
from collections import deque

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace.propagation import tracecontext
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace import Span

from carawayvale.telemetry.logs import log_event

MAX_SPANS = 512
TRACEPARENT = "traceparent"
NS_PER_S = 1_000_000_000


class RingBufferExporter(SpanExporter):
    """Exporter that keeps the newest finished spans and logs each of them.

    :param limit: largest number of spans to keep.
    """

    def __init__(self, limit: int = MAX_SPANS):
        self.spans: deque[ReadableSpan] = deque(maxlen=limit)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Keep and log finished spans.

        :param spans: the finished spans.
        :returns: always success.
        """
        for span in spans:
            self.spans.append(span)
            log_event("span", "DEBUG", **describe_span(span))
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Discard all spans."""
        self.spans.clear()


def describe_span(span: ReadableSpan) -> dict[str, str | float]:
    """Convert a span to fields of a log line or a JSON response.

    :param span: a finished span.
    :returns: name, ids, start time, duration and attributes of the span.
    """
    context = span.get_span_context()
    parent = span.parent
    return {
        "name": span.name,
        "trace": f"{context.trace_id:032x}",
        "span": f"{context.span_id:016x}",
        "parent": f"{parent.span_id:016x}" if parent else "",
        "start_s": span.start_time / NS_PER_S,
        "took_ms": (span.end_time - span.start_time) / 1e6,
        **{key: str(value) for key, value in span.attributes.items()},
    }


class Tracing:
    """Tracer that starts spans and propagates their context over HTTP.

    The context is propagated in the W3C header ``traceparent``.

    :param instance: name of this instance.
    :param ratio: share of new traces that are sampled.
    """

    def __init__(self, instance: str, ratio: float):
        self.exporter = RingBufferExporter()
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.instance.id": instance}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(SimpleSpanProcessor(self.exporter))
        self.tracer = provider.get_tracer("carawayvale")
        self.propagator = tracecontext.TraceContextTextMapPropagator()

    def read_parent(self, traceparent: bytes | None) -> Context:
        """Extract the context of the parent span from a request header.

        :param traceparent: value of the header, or None.
        :returns: context of the parent; empty without a valid header.
        """
        if traceparent is None:
            return Context()
        carrier = {TRACEPARENT: traceparent.decode("latin-1")}
        return self.propagator.extract(carrier, Context())

    def start_span(self, name: str, parent: Context | Span) -> Span:
        """Start a span.

        :param name: name of the hop.
        :param parent: the parent span or its context.
        :returns: the span; the caller of this method has to end it.
        """
        if isinstance(parent, Span):
            parent = set_span_in_context(parent, Context())
        return self.tracer.start_span(name, context=parent)

    def format_traceparent(self, span: Span) -> bytes:
        """Format the value of the header ``traceparent`` for the next hop.

        :param span: parent of the span of the next hop.
        :returns: value of the header.
        """
        context = span.get_span_context()
        flags = int(context.trace_flags)
        text = f"00-{context.trace_id:032x}-{context.span_id:016x}"
        return f"{text}-{flags:02x}".encode("ascii")

    def list_spans(self) -> Iterable[dict[str, str | float]]:
        """List the newest finished spans.

        :returns: fields of each span, oldest first.
        """
        return [describe_span(span) for span in self.exporter.spans]
