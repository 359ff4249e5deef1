"""Tests of ``fighitch.settings`` and ``fighitch.settings_reference``."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from fighitch.settings import (
    RELOAD_RULES,
    SETTINGS_TYPES,
    ClientSettings,
    EntrySettings,
    LogSettings,
    SidecarSettings,
    keys_requiring_restart,
    load_settings,
    parse_settings,
    split_address,
)
from fighitch.settings_reference import documented_keys, reference

ROOT = Path(__file__).resolve().parents[2]
SECRET = "00112233445566778899aabbccddeeff"
ENTRY = """{
  // identity
  instance: "entry-1", "availability_zone": "a",
  "http_address": "127.0.0.1:8080", "admin_address": "[::1]:8081",
  "shared_keys": [
    {"key_id": "k1", "secret": "%s"},
  ], /* two
  lines */
  %s
}"""


def entry(extra="", secret=SECRET):
    return parse_settings(ENTRY % (secret, extra), EntrySettings, file="entry.json")


class LoadTests(unittest.TestCase):
    def test_file_with_comments_and_defaults(self):
        settings = entry().ok
        self.assertEqual(settings.http_address, "127.0.0.1:8080")
        self.assertEqual(settings.log, LogSettings())
        self.assertEqual(settings.shared_keys[0].key.secret, bytes.fromhex(SECRET))

    def test_missing_file_is_named(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "absent.json")
            self.assertIn(str(path), str(load_settings(path, EntrySettings).error))

    def test_failures_name_file_line_key_value_and_allowed_values(self):
        """Guards against an error that leaves the operator searching the file."""
        for extra, line, key, words in (
            (
                '"peers": ["1.2.3.4:5",\n"host:5"]',
                10,
                "peers[1]",
                ["host:5", "ip:port"],
            ),
            ('"max_body_bytes": 0', 9, "max_body_bytes", ["0", "at least 1"]),
            ('"http_workers": "9"', 9, "http_workers", ["'9'", "an integer"]),
            ('"log": {\n"level": "loud"}', 10, "log.level", ["loud", "'debug'"]),
            ('"log": {\n"lvl": "info"}', 10, "log.lvl", ["unknown", "'level'"]),
            ('"object_api": "ftp://x"', 9, "object_api", ["ftp://x", "http"]),
            ('"traces": {"exporter": "file"}', 9, "traces.path", ["path of a file"]),
            ('"watch": true', 9, "watch", ["true", "object_api"]),
            ('"watch": null', 9, "watch", ["null", "true or false"]),
            ('"watch": ', 10, "", ["JSON with comments"]),
            ('"peers": [],\n"peers": []', 10, "", ["Duplicate", "peers"]),
        ):
            with self.subTest(extra):
                failure = entry(extra).error
                self.assertEqual(
                    (failure.file, failure.line, failure.key), ("entry.json", line, key)
                )
                for word in words:
                    self.assertIn(word, str(failure))

    def test_missing_key_is_named(self):
        failure = parse_settings("{}", ClientSettings).error
        self.assertEqual((failure.key, failure.problem), ("object_api", "missing"))

    def test_backend_must_be_complete(self):
        """Guards against a sidecar of an engine that does not know its model."""
        text = """{"instance": "s", "availability_zone": "a", "peer_address":
            "127.0.0.1:1", "admin_address": "127.0.0.1:2", "shared_keys":
            [{"key_id": "k", "secret": "%s"}],
            "backend": {"type": "engine", "url": "http://127.0.0.1:3"}}"""
        failure = parse_settings(text % SECRET, SidecarSettings).error
        self.assertEqual(failure.key, "backend.model")

    def test_secrets_are_not_shown(self):
        """Guards against keys in logs and terminals."""
        for failure in (
            entry(secret="abc-leak").error,
            entry(secret='x", "more": ["abc-leak"], "z": "').error,
            parse_settings(
                '{"object_api": "", "operator_key": ["abc-leak"]}', ClientSettings
            ).error,
            parse_settings(
                '{"object_api": "", "shared_keys": ["abc-leak"]}', ClientSettings
            ).error,
        ):
            self.assertNotIn("abc-leak", str(failure))
        self.assertNotIn(SECRET, repr(entry().ok))

    def test_repeated_key_id_is_refused(self):
        """Guards against a rotation in which one key hides the other."""
        key = f'{{"key_id": "k", "secret": "{SECRET}"}}'
        text = f'{{"object_api": "", "shared_keys": [{key},\n{key}]}}'
        failure = parse_settings(text, ClientSettings).error
        self.assertEqual((failure.line, failure.key), (2, "shared_keys[1].key_id"))


class AddressTests(unittest.TestCase):
    def test_forms(self):
        self.assertEqual(split_address("10.0.0.7:80"), ("10.0.0.7", 80))
        self.assertEqual(split_address("[fd00::7]:80"), ("fd00::7", 80))
        for text in ("10.0.0.7", "fd00::7:80", "[10.0.0.7]:80", "1.2.3.4:65536", ":1"):
            with self.subTest(text), self.assertRaises(ValueError):
                split_address(text)


class ReloadTests(unittest.TestCase):
    def test_every_key_has_a_rule_and_a_doc_comment(self):
        """Guards against a key whose reload behaviour nobody decided."""
        for settings_type in SETTINGS_TYPES.values():
            names = [field.name for field in msgspec.structs.fields(settings_type)]
            self.assertEqual(sorted(RELOAD_RULES[settings_type]), sorted(names))
            self.assertEqual(sorted(documented_keys(settings_type)), sorted(names))

    def test_changed_keys_that_need_a_restart_are_listed(self):
        old = entry().ok
        new = msgspec.structs.replace(
            old, peers=("10.0.0.1:1",), http_address="127.0.0.1:9"
        )
        self.assertEqual(keys_requiring_restart(old, new), ("http_address",))


class ReferenceTests(unittest.TestCase):
    def test_page_is_up_to_date(self):
        """Guards against a page that describes other settings than the program's."""
        page = ROOT.joinpath("docs", "settings.md").read_text(encoding="utf-8")
        self.assertEqual(page, reference())
