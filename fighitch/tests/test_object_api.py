"""Tests of ``fighitch.core.object_api``."""

import json
import unittest

from fighitch.core.errors import ErrorKind
from fighitch.core.http_calls import HttpResponse
from fighitch.core.object_api import (
    create_call,
    get_call,
    parse_document,
    parse_resource_list,
    replace_call,
    watch_call,
)
from fighitch.core.watch_events import parse_watch_line
from fighitch.tests.fake_http import LOST, answer, placement_at


class OddResourceTests(unittest.TestCase):
    """Objects with values of other types than the object API documents.

    An exception left the process without configuration.
    """

    def odd_objects(self):
        good = placement_at(4)
        yield from (7, None, "x", [], {}, {"kind": []}, {"kind": {}})
        for metadata in (7, [], "x", {"name": 7}, {"name": "x", "labels": [1]}):
            yield good | {"metadata": metadata}
        for version in ([1], {"a": 1}, "9" * 5_000, "x", "1.5"):
            metadata = good["metadata"] | {"resourceVersion": version}
            yield good | {"metadata": metadata}
        for number in (10**400, 2**64, -(10**30), "1", 1.5, []):
            yield good | {"spec": good["spec"] | {"maxReplicas": number}}

    def test_other_resources_of_a_list_are_in_force(self):
        good = placement_at(4)
        for odd in self.odd_objects():
            with self.subTest(odd=str(odd)[:90]):
                found = parse_resource_list({"items": [odd, good]})
                self.assertEqual(len(found.resources), 1)
        for items in (7, "x", {}, None):
            self.assertEqual(parse_resource_list({"items": items}).resources, ())

    def test_watch_goes_on_after_an_odd_object(self):
        for odd in self.odd_objects():
            for kind in ("ADDED", "MODIFIED", "DELETED"):
                try:
                    line = json.dumps({"type": kind, "object": odd}).encode()
                except ValueError:
                    continue
                with self.subTest(odd=str(odd)[:90], kind=kind):
                    parse_watch_line(line)


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
