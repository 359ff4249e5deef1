"""Tests of ``fighitch.core.resources``."""

import unittest

from fighitch.core.resources import parse_resource, resource_document

ADAPTER = {
    "apiVersion": "fighitch.dev/v1",
    "kind": "Adapter",
    "metadata": {"name": "a", "labels": {"tier": "gold"}, "resourceVersion": "7"},
    "spec": {"model": "base", "versions": [{"name": "v1"}], "defaultVersion": "v1"},
}


class ParseTests(unittest.TestCase):
    def test_document_survives_a_round_trip(self):
        resource = parse_resource(ADAPTER).ok
        self.assertEqual(parse_resource(resource_document(resource)).ok, resource)
        self.assertEqual(resource.revision, 7)

    def test_errors_name_the_bad_value_and_the_allowed_ones(self):
        """Guards against accepting resources that cannot be used."""
        for change, words in (
            ({"kind": "Adaptor"}, ("Adaptor", "WorkPolicy")),
            ({"apiVersion": "v1"}, ("'v1'", "fighitch.dev/v1")),
            ({"metadata": {}}, ("metadata.name",)),
            (
                {"spec": {**ADAPTER["spec"], "defaultVersion": "v9"}},
                ("v9", "['v1']"),
            ),
            ({"spec": {**ADAPTER["spec"], "colour": "x"}}, ("colour",)),
            ({"spec": None}, ("Adapter",)),
        ):
            with self.subTest(change):
                detail = parse_resource({**ADAPTER, **change}).error.detail
                for word in words:
                    self.assertIn(word, detail)
