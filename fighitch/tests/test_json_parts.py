"""Tests of ``fighitch.platform.json_parts``."""

import contextlib
import json
import time
import unittest

import msgspec
from hypothesis import given, settings, strategies

from fighitch.platform.json_parts import split_array, split_object

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(alphabet='ab"\\[]{},: \n\u00e9', max_size=8),
    lambda values: (
        strategies.lists(values, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), values, max_size=4)
    ),
    max_leaves=30,
)
SETTINGS = settings(max_examples=300, derandomize=True, deadline=None, database=None)
# Each body takes at most a second; a quadratic scan would take hours.
TIME_LIMIT = 15.0


class SplitTests(unittest.TestCase):
    @SETTINGS
    @given(strategies.lists(VALUES, max_size=6))
    def test_items_are_those_of_the_array(self, items):
        for indent in (None, 1):
            data = json.dumps(items, indent=indent).encode()
            self.assertEqual([json.loads(item) for item in split_array(data)], items)

    @SETTINGS
    @given(strategies.dictionaries(strategies.text(max_size=4), VALUES, max_size=6))
    def test_values_are_those_of_the_object(self, values):
        data = json.dumps(values).encode()
        found = {key: json.loads(item) for key, item in split_object(data).items()}
        self.assertEqual(found, values)

    def test_depth_has_no_limit(self):
        for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
            for depth in (1, 5, 6, 7, 900, 1_100, 100_000):
                deep = opening * depth + b"1" + closing * depth
                with self.subTest(opening=opening, depth=depth):
                    self.assertEqual(
                        split_array(b"[1, %s ,2]" % deep), [b"1", deep, b"2"]
                    )

    def test_number_of_brackets_has_no_limit(self):
        # Guards against a list that nobody can read because of its largest entry.
        for opening, closing in (
            (b"[ ", b"]"),
            (b"[1,", b"]"),
            (b'{"a" : ', b"}"),
            (b'{"]":[[]],"a":', b"}"),
            (b"[[[[[[[]]]]]],", b"]"),
        ):
            depth = 1_020_000 // len(opening + closing)
            deep = opening * depth + b"1" + closing * depth
            with self.subTest(opening):
                self.assertEqual(split_array(b"[1, %s ,2]" % deep), [b"1", deep, b"2"])

    def test_brackets_in_strings_between_brackets_do_not_count(self):
        deep = b'[{"[": "}", "a": [{"]": "\\"[", "b": [[[["{"]]]]}]}]'
        for depth in (0, 7, 30):
            item = b"[" * depth + deep + b', "]"]' * depth
            with self.subTest(depth):
                self.assertEqual(split_array(b"[%s,2]" % item), [item, b"2"])

    def test_items_that_are_no_json_are_kept_apart(self):
        self.assertEqual(
            split_array(b'[NaN, \xff, "]", 1e999]'), [b"NaN", b"\xff", b'"]"', b"1e999"]
        )

    def test_unbalanced_input_is_an_error(self):
        for data in (
            b"",
            b"[",
            b"]",
            b"{}",
            b"[[]",
            b"[]]",
            b'["]',
            b'["\\"]',
            b"[1] [",
            b"[1][2]",
            b"[" * 9_000,
            b"[" * 9_000 + b"]",
        ):
            with self.subTest(data[:20]), self.assertRaises(msgspec.DecodeError):
                split_array(data)
        for data in (b"[]", b"{1}", b"{a:1}", b'{"a"}', b'{"\\ud800":1}'):
            with self.subTest(data), self.assertRaises(msgspec.DecodeError):
                split_object(data)

    def test_time_is_bounded_for_bodies_of_8_mb(self):
        """Guards against a quadratic scan, which would hold up the event loop."""
        for inner in (b"[],", b'["', b'{"a":', b'"', b'\\"', b" ", b"[", b"1,", b"{"):
            data = b"[" + inner * (8_000_000 // len(inner)) + b"]"
            begin = time.monotonic()
            with contextlib.suppress(msgspec.DecodeError):
                split_array(data)
            with self.subTest(inner):
                self.assertLess(time.monotonic() - begin, TIME_LIMIT)


if __name__ == "__main__":
    unittest.main()
