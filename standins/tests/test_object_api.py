"""Tests for ``standins.object_api``."""

import http.client
import json
import unittest

from standins.object_api import API_ROOT, ObjectApi, ObjectApiSettings
from standins.tests.helpers import call, open_response, start_stand_in
from standins.tests.test_object_store import claim, weight_store


class ObjectApiTests(unittest.TestCase):
    def api(self, **settings):
        api = ObjectApi(
            ObjectApiSettings(latency_seconds=0, bookmark_seconds=0.01, **settings)
        )
        return start_stand_in(self, api)

    def test_watch_sends_changes_in_order_and_bookmarks_when_idle(self):
        """Guards against a watcher that cannot tell which revision it has reached."""
        api = self.api()
        collection = f"{API_ROOT}/weightstores"
        call(api.port, "POST", collection, weight_store("w"))
        query = "watch=true&resourceVersion=1&allowWatchBookmarks=true&timeoutSeconds=9"
        with open_response(
            api.port, "GET", f"{API_ROOT}/resources?{query}"
        ) as response:
            call(api.port, "PUT", f"{collection}/w", weight_store("w", transit=7))
            call(api.port, "POST", f"{API_ROOT}/claims", claim("k"))
            call(api.port, "DELETE", f"{collection}/w")
            seen = []
            while seen[-1:] != [("BOOKMARK", "4")]:
                event = json.loads(response.readline())
                version = event["object"]["metadata"]["resourceVersion"]
                seen.append((event["type"], version))
        changes = [event for event in seen if event[0] != "BOOKMARK"]
        self.assertEqual(changes, [("MODIFIED", "2"), ("DELETED", "4")])

    def test_watch_from_before_the_history_is_expired(self):
        api = self.api(history_size=1)
        for name in ("a", "b", "c"):
            call(api.port, "POST", f"{API_ROOT}/weightstores", weight_store(name))
        path = f"{API_ROOT}/resources?watch=true&resourceVersion=1"
        status, body = call(api.port, "GET", path)
        self.assertEqual((status, body["reason"]), (410, "Expired"))
        listed = call(api.port, "GET", f"{API_ROOT}/resources")[1]
        self.assertEqual(listed["metadata"]["resourceVersion"], "3")
        self.assertEqual(len(listed["items"]), 3)

    def test_write_with_a_lost_response_takes_effect(self):
        """Guards against a fault that drops the write together with its response."""
        api = self.api()
        api.control({"lose_next_write_answers": 1})
        self.assertEqual(call(api.port, "DELETE", f"{API_ROOT}/claims/k")[0], 404)
        with self.assertRaises(http.client.RemoteDisconnected):
            call(api.port, "POST", f"{API_ROOT}/claims", claim("k"))
        status, body = call(api.port, "POST", f"{API_ROOT}/claims", claim("k"))
        self.assertEqual((status, body["reason"]), (409, "AlreadyExists"))

    def test_calls_above_the_rate_and_large_bodies_are_rejected(self):
        api = self.api(reads_per_second=0.001, writes_per_second=0.001)
        big = claim("k", spec={"text": "x" * 1024 * 1024})
        self.assertEqual(call(api.port, "POST", f"{API_ROOT}/claims", big)[0], 413)
        self.assertEqual(call(api.port, "GET", f"{API_ROOT}/claims")[0], 200)
        with open_response(api.port, "GET", f"{API_ROOT}/claims") as response:
            self.assertEqual(response.status, 429)
            self.assertGreater(int(response.headers["Retry-After"]), 0)

    def test_down_closes_watches(self):
        api = self.api()
        path = f"{API_ROOT}/resources?watch=true"
        with open_response(api.port, "GET", path) as response:
            api.control({"down": True})
            with self.assertRaises((http.client.HTTPException, ConnectionError)):
                response.read()

    def test_silenced_watch_sends_nothing_while_a_new_one_works(self):
        """Guards against a watcher that trusts a connection because it is open."""
        api = self.api()
        path = f"{API_ROOT}/resources?watch=true&allowWatchBookmarks=true"
        with open_response(api.port, "GET", path) as silent:
            api.control({"silence_watches": True})
            call(api.port, "POST", f"{API_ROOT}/weightstores", weight_store("w"))
            with open_response(api.port, "GET", path) as working:
                self.assertEqual(json.loads(working.readline())["type"], "ADDED")
            api.control({"cut_connections": True})
            with self.assertRaises(http.client.IncompleteRead) as caught:
                silent.read()
            self.assertNotIn(b"ADDED", caught.exception.partial)
