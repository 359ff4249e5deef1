"""Tracing with one span per hop, within the W3C trace context of the caller."""

import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import IO, Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

EXPORTERS = ("none", "console", "file")
_PROPAGATOR = TraceContextTextMapPropagator()


class Traces:
    """Creates spans; without an exporter, only propagates the caller's context."""

    def __init__(
        self, *, instance: str, exporter: str = "none", path: str = ""
    ) -> None:
        """Sets up the exporter.

        Args:
            instance: Name of this instance, the ``service.instance.id`` of the spans.
            exporter: One of none, console, file.
            path: File for the spans, with one JSON object per line.

        Raises:
            ValueError: If the exporter is unknown.
        """
        if exporter not in EXPORTERS:
            raise ValueError(f"exporter {exporter!r} is not one of {EXPORTERS}")
        self._provider: TracerProvider | None = None
        if exporter == "none":
            return
        out: IO[str] = open(path, "a") if exporter == "file" else sys.stderr  # noqa: SIM115
        self._provider = TracerProvider(
            resource=Resource.create(
                {"service.name": "fighitch", "service.instance.id": instance}
            )
        )
        self._provider.add_span_processor(
            BatchSpanProcessor(ConsoleSpanExporter(out=out, formatter=_format_span))
        )
        self._tracer = self._provider.get_tracer("fighitch")

    def start(
        self, name: str, traceparent: str, attributes: Mapping[str, Any]
    ) -> "OpenSpan":
        """Starts a span as a child of the previous hop.

        Args:
            name: Span name, such as ``entry.request``.
            traceparent: W3C header of the previous hop; empty starts a new trace.
            attributes: Attributes of the span.

        Returns:
            The span, which the caller of this function must end.
        """
        if self._provider is None:
            return OpenSpan(None, traceparent)
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context=parent, attributes=attributes)
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
        return OpenSpan(span, carrier.get("traceparent", traceparent))

    @contextmanager
    def span(
        self, name: str, traceparent: str, **attributes: Any
    ) -> Iterator["OpenSpan"]:
        """Returns a context manager that starts a span and ends it on exit."""
        span = self.start(name, traceparent, attributes)
        try:
            yield span
        finally:
            span.end()

    def stop(self) -> None:
        """Exports the buffered spans and shuts down the exporter."""
        if self._provider is not None:
            self._provider.shutdown()


class OpenSpan:
    """A started span and the header that propagates it to the next hop."""

    def __init__(self, span: Any, traceparent: str) -> None:
        self._span = span
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        """W3C header for the next hop."""
        return self._traceparent

    def set(self, key: str, value: str | int | float | bool) -> None:
        """Sets an attribute of the span."""
        if self._span is not None:
            self._span.set_attribute(key, value)

    def end(self) -> None:
        """Ends the span."""
        if self._span is not None:
            self._span.end()


def _format_span(span: ReadableSpan) -> str:
    return span.to_json(indent=None) + "\n"
