import os
import unittest

from fighitch.observability.bounded_log import BoundedLog


class BoundedLogTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.now = 0.0

    def log(self, **options) -> BoundedLog:
        return BoundedLog(
            "front-1", descriptor=self.writer, clock=lambda: self.now, **options
        )

    def read(self) -> str:
        return os.read(self.reader, 1_000_000).decode()

    def test_event_is_one_line_of_pairs(self):
        self.log().event("placed", request="a b", version=3)
        line = self.read()
        self.assertRegex(
            line,
            r"^time=\S+Z level=INFO event=placed instance=front-1 "
            r'request="a b" version=3\n$',
        )
        os.close(self.writer)

    def test_value_that_utf8_cannot_encode_is_written(self):
        # The line with the name of an odd object was replaced by a traceback.
        self.log().event("server_entry_unreadable", entry="i-\ud800")
        os.close(self.writer)
        self.assertIn('entry="i-\\ud800"\n', self.read())

    def test_full_pipe_does_not_block(self):
        # Without a reader, the writer must not block and must report the dropped lines
        # later.
        log = self.log(lines_per_second=1e9)
        for number in range(20_000):
            self.now += 1.0
            log.event("x", number=number, padding="p" * 100)
        self.assertGreater(log.dropped, 10_000)
        while len(os.read(self.reader, 4_096)) == 4_096:
            pass
        self.now += 1.0
        log.event("y")
        self.assertIn("lines_dropped=", self.read())
        os.close(self.writer)

    def test_rate_of_lines_is_limited(self):
        log = self.log(lines_per_second=10)
        for _ in range(3_000):
            self.now += 0.001
            log.event("x")
        self.assertLessEqual(self.read().count("event=x"), 400 + 30)
        os.close(self.writer)

    def test_closed_reader_does_not_end_the_process(self):
        reader, writer = os.pipe()
        os.close(reader)
        log = BoundedLog("front-1", descriptor=writer)
        log.event("x")
        log.event("x")
        self.assertGreater(log.dropped, 0)
        os.close(writer)
