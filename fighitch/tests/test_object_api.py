"""Tests of ``fighitch.core.object_api``."""

import json
import unittest

from fighitch.core.errors import ErrorKind
from fighitch.core.inputs import ClaimStatus
from fighitch.core.object_api import (
    Changed,
    Expired,
    HttpAnswer,
    NoAnswer,
    WatchEnded,
    WriteStatus,
    create,
    delete,
    get_call,
    read_back,
    read_created_claim,
    read_document,
    read_found_claim,
    read_watch_line,
    read_write,
    replace,
    watch_call,
)
from fighitch.tests.fake_http import placement

LOST, NOT_SENT = NoAnswer(sent=True), NoAnswer(sent=False, detail="refused")


def answer(status, value=None, **headers):
    return HttpAnswer(status, json.dumps(value or {}).encode(), headers)


def at(revision, **changed):
    return placement("a", resourceVersion=str(revision), **changed)


class CallTests(unittest.TestCase):
    def test_name_cannot_change_the_path(self):
        """Guards against a name that addresses another object."""
        path = get_call("Claim", "../a?b").path
        self.assertEqual(path, "/apis/fighitch.dev/v1/claims/..%2Fa%3Fb")

    def test_create_states_no_version_and_replace_states_its_own(self):
        self.assertNotIn(b"resourceVersion", create(at(4)).call.body)
        self.assertIn(b'"resourceVersion":"4"', replace(at(4)).call.body)

    def test_watch_asks_for_bookmarks(self):
        path = watch_call(7, timeout=30).path
        self.assertIn("resourceVersion=7&allowWatchBookmarks=true", path)


class WriteTests(unittest.TestCase):
    def test_answers(self):
        """Guards against 'not written' where only reading back can tell."""
        write = replace(at(4))
        for result, status in (
            (answer(200, at(5)), WriteStatus.REPLACED),
            (answer(404), WriteStatus.NOT_FOUND),
            (answer(409), WriteStatus.CONFLICT),
            (answer(422), WriteStatus.REJECTED),
            (answer(429), WriteStatus.UNAVAILABLE),
            (NOT_SENT, WriteStatus.UNAVAILABLE),
            (answer(500), None),
            (answer(503), None),
            (LOST, None),
            (HttpAnswer(200, b'{"metadata": {"reso'), None),
        ):
            with self.subTest(result):
                outcome = read_write(write, result)
                self.assertEqual(outcome and outcome.status, status)

    def test_retry_after_is_passed_on(self):
        outcome = read_write(create(at(0)), answer(429, **{"retry-after": "7"}))
        self.assertEqual(outcome.retry_after, 7.0)

    def test_read_back(self):
        created, replaced = create(placement("a")), replace(at(4))
        deleted = delete("Placement", "a", revision=4)
        for write, found, status in (
            (created, at(9), WriteStatus.CREATED),
            (created, at(9, replicas=9), WriteStatus.CONFLICT),
            (created, at(9, labels={"x": "y"}), WriteStatus.CONFLICT),
            (created, None, None),
            (replaced, at(5), WriteStatus.REPLACED),
            (replaced, at(4, replicas=9), None),
            (replaced, at(5, replicas=9), WriteStatus.CONFLICT),
            (replaced, None, WriteStatus.CONFLICT),
            (deleted, None, WriteStatus.DELETED),
            (deleted, at(4), None),
            (deleted, at(5), WriteStatus.CONFLICT),
        ):
            with self.subTest(write=write.status, found=found):
                outcome = read_back(write, found)
                self.assertEqual(outcome and outcome.status, status)


class ReadTests(unittest.TestCase):
    def test_failures(self):
        for result, kind in (
            (answer(404), ErrorKind.UNKNOWN_ROUTE),
            (answer(500), ErrorKind.PLATFORM_UNAVAILABLE),
            (HttpAnswer(200, b"[]"), ErrorKind.PLATFORM_UNAVAILABLE),
            (LOST, ErrorKind.PLATFORM_UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(read_document(result).error.kind, kind)


class WatchTests(unittest.TestCase):
    def line(self, event_type, value):
        return json.dumps({"type": event_type, "object": value}).encode()

    def test_lines(self):
        changed = read_watch_line(self.line("ADDED", at(5)))
        self.assertEqual((type(changed), changed.revision), (Changed, 5))
        deleted = read_watch_line(self.line("DELETED", at(6)))
        self.assertTrue(deleted.resource.is_deleted)
        gone = self.line("ERROR", {"code": 410})
        self.assertEqual(read_watch_line(gone), Expired())
        failed = self.line("ERROR", {"code": 500, "message": "broken"})
        self.assertEqual(read_watch_line(failed), WatchEnded("broken"))

    def test_unreadable_line_ends_the_stream(self):
        """Guards against skipping a change that nobody repeats."""
        for line in (b"{", b"[]", b'{"type": "ADDED"}'):
            with self.subTest(line):
                self.assertIsInstance(read_watch_line(line), WatchEnded)


class ClaimTests(unittest.TestCase):
    def test_only_a_certain_answer_is_certain(self):
        """Guards against a second run because a claim seemed not to exist."""
        for result, status in (
            (answer(201), ClaimStatus.CREATED),
            (answer(409), ClaimStatus.EXISTS),
            (answer(503), ClaimStatus.ANSWER_LOST),
            (LOST, ClaimStatus.ANSWER_LOST),
            (NOT_SENT, ClaimStatus.UNAVAILABLE),
            (answer(429), ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(read_created_claim(result, "t").status, status)
        for result, status in (
            (answer(200, {"spec": {"ticket": "t"}}), ClaimStatus.EXISTS),
            (answer(200, {"spec": {}}), ClaimStatus.UNAVAILABLE),
            (answer(404), ClaimStatus.NOT_FOUND),
            (answer(500), ClaimStatus.UNAVAILABLE),
            (LOST, ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(result):
                self.assertIs(read_found_claim(result).status, status)
