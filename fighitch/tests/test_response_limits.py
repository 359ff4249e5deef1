import unittest

from fighitch.core.gateway.response_limits import (
    LimitKind,
    ReadProgress,
    ResponseLimits,
    ResponseMeter,
)

NOTHING = ReadProgress(has_expected=False, has_boundary=False)
OTHER_MESSAGE = ReadProgress(has_expected=False, has_boundary=True)
EXPECTED = ReadProgress(has_expected=True, has_boundary=True)


class ResponseMeterTests(unittest.TestCase):
    def setUp(self):
        limits = ResponseLimits(
            header_bytes=100, header_time=5.0, preliminary_bytes=1_000
        )
        self.meter = ResponseMeter(limits)

    def test_head_above_the_byte_limit(self):
        self.assertIsNone(self.meter.record_read(100, NOTHING, 0.0))
        limit = self.meter.record_read(1, NOTHING, 0.0)
        self.assertEqual(limit, LimitKind.HEADER_BYTES)

    def test_head_that_arrives_a_byte_at_a_time_exceeds_the_time_limit(self):
        for second in range(6):
            self.assertIsNone(self.meter.record_read(1, NOTHING, float(second)))
        limit = self.meter.record_read(1, NOTHING, 6.0)
        self.assertEqual(limit, LimitKind.HEADER_TIME)

    def test_late_start_of_a_head_does_not_count_as_header_time(self):
        # A slow server sends nothing for longer than header_time, then a split head.
        self.assertIsNone(self.meter.record_read(10, NOTHING, 60.0))
        self.assertIsNone(self.meter.record_read(10, EXPECTED, 60.1))

    def test_messages_before_the_expected_one_exceed_their_limit_together(self):
        for _ in range(10):
            self.assertIsNone(self.meter.record_read(100, OTHER_MESSAGE, 0.0))
        limit = self.meter.record_read(1, OTHER_MESSAGE, 0.0)
        self.assertEqual(limit, LimitKind.PRELIMINARY_BYTES)

    def test_body_of_the_expected_response_resets_the_counters(self):
        for _ in range(100):
            self.assertIsNone(self.meter.record_read(90, NOTHING, 0.0))
            self.assertIsNone(self.meter.record_read(900, EXPECTED, 0.0))
