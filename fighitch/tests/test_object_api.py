"""Tests of ``fighitch.core.object_api``."""

import unittest

from fighitch.core.errors import ErrorKind
from fighitch.core.http_calls import HttpResponse
from fighitch.core.object_api import (
    create_call,
    get_call,
    parse_document,
    replace_call,
    watch_call,
)
from fighitch.tests.fake_http import LOST, answer, placement_at


class CallTests(unittest.TestCase):
    def test_name_cannot_change_the_path(self):
        """Guards against a name that addresses another object."""
        path = get_call("Claim", "../a?b").path
        self.assertEqual(path, "/apis/fighitch.dev/v1/claims/..%2Fa%3Fb")

    def test_create_states_no_version_and_replace_states_its_own(self):
        self.assertNotIn(b"resourceVersion", create_call(placement_at(4)).body)
        self.assertIn(b'"resourceVersion":"4"', replace_call(placement_at(4)).body)

    def test_watch_requests_bookmarks(self):
        path = watch_call(7, timeout=30).path
        self.assertIn("resourceVersion=7&allowWatchBookmarks=true", path)


class ReadTests(unittest.TestCase):
    def test_failure_kinds(self):
        for result, kind in (
            (answer(404), ErrorKind.UNKNOWN_ROUTE),
            (answer(500), ErrorKind.PLATFORM_UNAVAILABLE),
            (HttpResponse(200, b"[]"), ErrorKind.PLATFORM_UNAVAILABLE),
            (LOST, ErrorKind.PLATFORM_UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(parse_document(result).error.kind, kind)
