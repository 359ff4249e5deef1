"""Tests of the package ``fighitch.observability``."""

import json
import tempfile
import unittest
from pathlib import Path

from fighitch.core.effects import LogEvent
from fighitch.observability.logs import EventLog, format_event
from fighitch.observability.metrics import Metrics
from fighitch.observability.traces import Traces

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class TempDirectoryTestCase(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "out"


class TraceTests(TempDirectoryTestCase):
    def test_hops_form_one_trace_below_the_callers_span(self):
        """Guards against spans of one request that belong to different traces."""
        traces = Traces(instance="entry-1", exporter="file", path=str(self.path))
        with (
            traces.span("entry.request", PARENT, request_id="r") as first,
            traces.span("backend.call", first.traceparent) as second,
        ):
            second.set("status", 200)
        traces.stop()
        call, request = map(json.loads, self.path.read_text().splitlines())
        trace_id = f"0x{PARENT.split('-')[1]}"
        self.assertEqual(
            {span["context"]["trace_id"] for span in (call, request)}, {trace_id}
        )
        self.assertEqual(call["parent_id"], request["context"]["span_id"])
        self.assertEqual(request["parent_id"], f"0x{PARENT.split('-')[2]}")
        self.assertEqual(request["attributes"], {"request_id": "r"})

    def test_context_is_propagated_without_an_exporter(self):
        traces = Traces(instance="entry-1")
        with traces.span("entry.request", PARENT) as span:
            self.assertEqual(span.traceparent, PARENT)

    def test_error_names_an_unknown_exporter(self):
        with self.assertRaisesRegex(ValueError, "smoke"):
            Traces(instance="entry-1", exporter="smoke")


class LogTests(TempDirectoryTestCase):
    def test_event_is_one_line_of_pairs(self):
        """Guards against values that split a line or are parsed as further keys."""
        line = format_event("x", [("a", 1), ("b", 'two "words"\nnext'), ("c", "")])
        self.assertEqual(line, 'event=x a=1 b="two \\"words\\"\\nnext" c=""')

    def test_control_characters_and_lone_surrogates_are_escaped(self):
        """Guards against values that forge a line or make writing it fail."""
        value = "a\rb\x1b[0m\x00\x85\u2028\ud800\u00e9\ttab"
        line = format_event("x", [("a", value)])
        self.assertEqual(
            line,
            'event=x a="a\\rb\\x1b[0m\\x00\\x85\\u2028\\ud800\u00e9\\ttab"',
        )
        self.assertEqual(line.splitlines(), [line])
        line.encode()

    def test_events_below_the_level_are_not_written(self):
        log = EventLog(instance="i", level="info", path=str(self.path))
        log.write(LogEvent("quiet"), level="debug")
        log.event("loud", level="warning", key="value")
        (line,) = self.path.read_text().splitlines()
        self.assertIn("level=WARNING event=loud instance=i key=value", line)


class MetricsTests(unittest.TestCase):
    def test_requests_and_events_are_counted(self):
        metrics = Metrics(instance="i", role="entry")
        metrics.count_event(LogEvent("peer_refused"))
        metrics.record_response(kind="ok", run_state="ran", seconds=0.1)
        text = metrics.render().decode()
        self.assertIn('fighitch_events_total{event="peer_refused"} 1.0', text)
        self.assertIn('fighitch_requests_total{kind="ok",run_state="ran"} 1.0', text)
        self.assertIn("# HELP fighitch_request_duration_seconds", text)
