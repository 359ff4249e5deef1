"""Tests of ``fighitch.clients.object_api`` against a fake server."""

import json
import threading
import unittest

from werkzeug.wrappers import Response

from fighitch.clients.object_api import ObjectApiClient
from fighitch.core.inputs import ClaimStatus
from fighitch.core.object_writes import WriteStatus
from fighitch.core.watch_events import (
    Expired,
    ResourceChanged,
    RevisionAdvanced,
    WatchEnded,
)
from fighitch.tests.fake_http import (
    DROP_AFTER_WRITE,
    DROP_BEFORE_WRITE,
    FakeObjectApi,
    placement,
    status_response,
)


class ObjectApiTestCase(unittest.TestCase):
    def setUp(self):
        self.api = FakeObjectApi()
        self.addCleanup(self.api.close)
        self.client = ObjectApiClient(self.api.url)
        self.addCleanup(self.client.close)

    def stored(self, name="a"):
        return self.api.objects["Placement", name]

    def writes(self):
        return [item.method for item in self.api.requests if item.method != "GET"]


class WriteTests(ObjectApiTestCase):
    def test_objects_are_created_replaced_and_deleted(self):
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CREATED)
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CONFLICT)
        changed = {**self.stored(), "spec": {"maxReplicas": 3}}
        outcome = self.client.replace(changed)
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.assertEqual(outcome.document, self.stored())
        self.assertIs(self.client.replace(changed).status, WriteStatus.CONFLICT)
        outdated = self.client.delete("Placement", "a", revision=1)
        self.assertIs(outdated.status, WriteStatus.CONFLICT)
        deleted = self.client.delete("Placement", "a")
        self.assertIs(deleted.status, WriteStatus.DELETED)
        repeated = self.client.delete("Placement", "a")
        self.assertIs(repeated.status, WriteStatus.NOT_FOUND)

    def test_replacement_without_a_version_is_rejected(self):
        with self.assertRaises(ValueError):
            self.client.replace(placement("a"))

    def test_lost_response_of_an_applied_write(self):
        """Guards against a second write, or a false conflict, after a lost response."""
        self.api.faults.append(DROP_AFTER_WRITE)
        outcome = self.client.create(placement("a"))
        self.assertIs(outcome.status, WriteStatus.CREATED)
        self.api.faults.append(DROP_AFTER_WRITE)
        outcome = self.client.replace({**self.stored(), "spec": {}})
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.api.faults.append(DROP_AFTER_WRITE)
        outcome = self.client.delete("Placement", "a")
        self.assertIs(outcome.status, WriteStatus.DELETED)
        self.assertEqual(self.writes(), ["POST", "PUT", "DELETE"])

    def test_lost_request_is_retried_once(self):
        self.api.faults.append(DROP_BEFORE_WRITE)
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CREATED)
        self.assertEqual(self.writes(), ["POST", "POST"])

    def test_write_applied_late_is_recognised_after_the_retry(self):
        """Guards against a false conflict with the client's own first attempt."""
        self.api.before_write = lambda: self.api.put(placement("a"))
        self.api.faults.append(DROP_BEFORE_WRITE)
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CREATED)
        self.assertEqual(self.writes(), ["POST", "POST"])

    def test_other_content_after_a_lost_response_is_a_conflict(self):
        """Guards against mistaking another writer's content for the client's own."""
        self.api.faults.append(DROP_AFTER_WRITE)
        self.api.after_write = lambda: self.api.put(placement("a", replicas=9))
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CONFLICT)

    def test_unresolvable_response_is_reported_as_unknown(self):
        """Guards against reporting an applied write as not written."""
        self.api.faults.extend([DROP_AFTER_WRITE, 503])
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.UNKNOWN)

    def test_rate_limited_write_is_unavailable(self):
        self.api.faults.append(429)
        outcome = self.client.create(placement("a"))
        self.assertIs(outcome.status, WriteStatus.UNAVAILABLE)
        self.assertEqual(len(self.api.requests), 1)

    def test_unreachable_api_is_unavailable(self):
        client = ObjectApiClient("http://127.0.0.1:1")
        outcome = client.create(placement("a"))
        self.assertIs(outcome.status, WriteStatus.UNAVAILABLE)


class LabelTests(ObjectApiTestCase):
    def test_labels_are_set_and_removed(self):
        self.api.put(placement("a", labels={"tier": "gold", "old": "1"}))
        changes = {"tier": "silver", "old": None}
        outcome = self.client.change_labels("Placement", "a", changes)
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.assertEqual(self.stored()["metadata"]["labels"], {"tier": "silver"})
        repeated = self.client.change_labels("Placement", "a", changes)
        self.assertIs(repeated.status, WriteStatus.UNCHANGED)

    def change_labels_concurrently(self, **changed):
        self.api.put(placement("a"))

        def write_concurrently():
            self.api.before_write = lambda: None
            self.api.put(placement("a", **changed))

        self.api.before_write = write_concurrently
        return self.client.change_labels("Placement", "a", {"tier": "gold"})

    def test_concurrent_change_of_another_part_is_kept(self):
        """Guards against a label change that reverts another operator's change."""
        outcome = self.change_labels_concurrently(replicas=9, labels={"spot": "yes"})
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.assertEqual(self.stored()["spec"]["maxReplicas"], 9)
        labels = {"spot": "yes", "tier": "gold"}
        self.assertEqual(self.stored()["metadata"]["labels"], labels)

    def test_concurrent_change_of_the_same_label_is_a_conflict(self):
        outcome = self.change_labels_concurrently(labels={"tier": "silver"})
        self.assertIs(outcome.status, WriteStatus.CONFLICT)
        self.assertEqual(self.stored()["metadata"]["labels"], {"tier": "silver"})


class ClaimTests(ObjectApiTestCase):
    def test_second_claim_returns_the_first_ticket(self):
        """Guards against two tickets, and so two executions, for one key."""
        created = self.client.create_claim("k", "t1")
        self.assertEqual(created.status, ClaimStatus.CREATED)
        self.assertIs(self.client.create_claim("k", "t2").status, ClaimStatus.EXISTS)
        found = self.client.read_claim("k")
        self.assertEqual((found.status, found.ticket), (ClaimStatus.EXISTS, "t1"))
        self.assertIs(self.client.read_claim("x").status, ClaimStatus.NOT_FOUND)

    def test_failed_claim_calls_are_not_retried(self):
        """Guards against executing an order whose claim is not confirmed.

        Each claim call is sent once; the status tells a lost response from a rejection.
        """
        for fault, status in (
            (DROP_AFTER_WRITE, ClaimStatus.ANSWER_LOST),
            (DROP_BEFORE_WRITE, ClaimStatus.ANSWER_LOST),
            (500, ClaimStatus.ANSWER_LOST),
            (429, ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(fault):
                self.api.faults.append(fault)
                self.api.requests.clear()
                response = self.client.create_claim(f"k-{fault}", "t")
                self.assertIs(response.status, status)
                self.assertEqual(len(self.api.requests), 1)
        self.api.faults.append(DROP_BEFORE_WRITE)
        self.assertIs(self.client.read_claim("k").status, ClaimStatus.UNAVAILABLE)


class ResourcesTests(ObjectApiTestCase):
    def test_invalid_object_does_not_affect_the_others(self):
        """Guards against one invalid object that leaves a process unconfigured."""
        self.api.put(placement("a"))
        self.api.put({**placement("b"), "spec": {"surprise": 1}})
        self.client.create_claim("k", "t")
        listed = self.client.resources().ok
        self.assertEqual([item.name for item in listed.resources], ["a"])
        self.assertEqual(listed.revision, 3)
        self.assertIn("surprise", listed.rejected[0])


class WatchTests(ObjectApiTestCase):
    def event(self, event_type, revision, **changed):
        document = {**placement("a", resourceVersion=str(revision)), **changed}
        return json.dumps({"type": event_type, "object": document})

    def test_events_are_yielded_in_order(self):
        self.api.watch_lines = [
            self.event("ADDED", 5),
            self.event("MODIFIED", 6, spec={"surprise": 1}),
            self.event("ADDED", 7, kind="Claim"),
            self.event("BOOKMARK", 8),
            self.event("DELETED", 9),
        ]
        events = list(self.client.watch(4))
        kinds = [
            ResourceChanged,
            RevisionAdvanced,
            RevisionAdvanced,
            RevisionAdvanced,
            ResourceChanged,
            WatchEnded,
        ]
        self.assertEqual([type(event) for event in events], kinds)
        self.assertEqual([event.revision for event in events[:-1]], [5, 6, 7, 8, 9])
        self.assertTrue(events[4].resource.is_deleted)
        args = self.api.requests[0].args
        self.assertEqual(args["resourceVersion"], "4")
        self.assertEqual(args["allowWatchBookmarks"], "true")

    def test_expired_revision_is_recognised_in_both_forms(self):
        """Guards against a watcher that keeps requesting a compacted revision."""
        status = {"kind": "Status", "code": 410, "reason": "Expired"}
        self.api.watch_lines = [json.dumps({"type": "ERROR", "object": status})]
        self.assertEqual(list(self.client.watch(1)), [Expired()])
        self.api.watch_lines = status_response(410, "Expired")
        self.assertEqual(list(self.client.watch(1)), [Expired()])

    def test_idle_stream_ends(self):
        """Guards against a watcher that blocks on a connection without data."""
        release = threading.Event()
        self.addCleanup(release.set)

        def stream():
            yield self.event("ADDED", 5) + "\n"
            release.wait()

        self.api.watch_lines = Response(stream())
        events = list(self.client.watch(4, idle_timeout=0.2))
        self.assertEqual(
            [type(event) for event in events], [ResourceChanged, WatchEnded]
        )
        self.assertIn("no data", events[1].detail)

    def test_reader_can_stop_the_stream(self):
        self.assertEqual(list(self.client.watch(4, should_stop=lambda: True)), [])
