"""Header fields that are kept in little more memory than their text."""

import tracemalloc
import unittest

from hypothesis import given, strategies as st

from fighitch.runtime.header_fields import HeaderFields

NAMES = st.sampled_from((b"Host", b"HOST", b"X", b"x-y", b"host-name"))
VALUES = st.binary(max_size=5).filter(lambda value: b"\n" not in value)
PAIRS = st.lists(st.tuples(NAMES, VALUES), max_size=100)


class ContentTests(unittest.TestCase):
    @given(PAIRS)
    def test_fields_are_those_that_were_appended(self, pairs):
        self.assertEqual(list(HeaderFields(pairs)), pairs)

    @given(PAIRS, NAMES)
    def test_values_are_found_by_lowercase_name_in_order(self, pairs, name):
        expected = [value for key, value in pairs if key.lower() == name.lower()]
        self.assertEqual(HeaderFields(pairs).values(name.lower()), expected)

    @given(PAIRS, PAIRS)
    def test_fields_after_a_look_up_are_found(self, pairs, more):
        fields = HeaderFields(pairs)
        fields.values(b"x")
        for name, value in more:
            fields.append(name, value)
        expected = [value for key, value in (*pairs, *more) if key.lower() == b"x"]
        self.assertEqual(fields.values(b"x"), expected)

    def test_value_that_looks_like_a_field_is_no_field(self):
        fields = HeaderFields([(b"a", b"b:c")] * 50)
        self.assertEqual(fields.values(b"b"), [])


class SizeTests(unittest.TestCase):
    """Guards against fields that take more memory than is counted for them."""

    def check(self, count: int, value: bytes = b""):
        pairs = [(b"%04x" % number, value) for number in range(count)]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        kept = [HeaderFields() for _ in range(20)]
        for fields in kept:
            for name, item in pairs:
                fields.append(bytes(bytearray(name)), bytes(bytearray(item)))
            fields.values(b"host")
        used = tracemalloc.get_traced_memory()[0] - before
        self.assertLess(used, sum(fields.size for fields in kept) + 20 * 1_024)

    def test_few_fields(self):
        self.check(10, b"value")

    def test_most_fields_that_are_not_packed(self):
        self.check(32, b"value")

    def test_many_short_fields(self):
        self.check(2_000)

    def test_many_longer_fields(self):
        self.check(500, b"v" * 20)

    def test_many_short_fields_take_little_more_than_their_text(self):
        fields = HeaderFields((b"%03x" % number, b"") for number in range(1_900))
        self.assertLess(fields.size, 50_000)


if __name__ == "__main__":
    unittest.main()
