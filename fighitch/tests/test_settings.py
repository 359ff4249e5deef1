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
from fighitch.settings_reference import documented_keys, render_reference

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


def parse_entry(extra="", secret=SECRET):
    return parse_settings(ENTRY % (secret, extra), EntrySettings, file="entry.json")


class LoadTests(unittest.TestCase):
    def test_comments_are_accepted_and_defaults_apply(self):
        settings = parse_entry().ok
        self.assertEqual(settings.http_address, "127.0.0.1:8080")
        self.assertEqual(settings.log, LogSettings())
        self.assertEqual(settings.shared_keys[0].key.secret, bytes.fromhex(SECRET))

    def test_error_names_a_missing_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "absent.json")
            self.assertIn(str(path), str(load_settings(path, EntrySettings).error))

    def test_errors_name_file_line_key_value_and_allowed_values(self):
        """Guards against an error message that does not locate the invalid value."""
        for extra, line, key, substrings in (
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
                failure = parse_entry(extra).error
                self.assertEqual(
                    (failure.file, failure.line, failure.key), ("entry.json", line, key)
                )
                for substring in substrings:
                    self.assertIn(substring, str(failure))

    def test_error_names_a_missing_key(self):
        failure = parse_settings("{}", ClientSettings).error
        self.assertEqual((failure.key, failure.problem), ("object_api", "missing"))

    def test_backend_must_be_complete(self):
        """Guards against a sidecar that starts without the base model of its engine."""
        text = """{"instance": "s", "availability_zone": "a", "peer_address":
            "127.0.0.1:1", "admin_address": "127.0.0.1:2", "shared_keys":
            [{"key_id": "k", "secret": "%s"}],
            "backend": {"type": "engine", "url": "http://127.0.0.1:3"}}"""
        failure = parse_settings(text % SECRET, SidecarSettings).error
        self.assertEqual(failure.key, "backend.model")

    def test_secrets_are_redacted(self):
        """Guards against secrets that are printed to logs and terminals."""
        for failure in (
            parse_entry(secret="abc-leak").error,
            parse_entry(secret='x", "more": ["abc-leak"], "z": "').error,
            parse_settings(
                '{"object_api": "", "operator_key": ["abc-leak"]}', ClientSettings
            ).error,
            parse_settings(
                '{"object_api": "", "shared_keys": ["abc-leak"]}', ClientSettings
            ).error,
        ):
            self.assertNotIn("abc-leak", str(failure))
        self.assertNotIn(SECRET, repr(parse_entry().ok))

    def test_duplicate_key_id_is_rejected(self):
        """Guards against a key rotation in which one key shadows another."""
        key = f'{{"key_id": "k", "secret": "{SECRET}"}}'
        text = f'{{"object_api": "", "shared_keys": [{key},\n{key}]}}'
        failure = parse_settings(text, ClientSettings).error
        self.assertEqual((failure.line, failure.key), (2, "shared_keys[1].key_id"))


class AddressTests(unittest.TestCase):
    def test_addresses_are_split_and_validated(self):
        self.assertEqual(split_address("10.0.0.7:80"), ("10.0.0.7", 80))
        self.assertEqual(split_address("[fd00::7]:80"), ("fd00::7", 80))
        for text in ("10.0.0.7", "fd00::7:80", "[10.0.0.7]:80", "1.2.3.4:65536", ":1"):
            with self.subTest(text), self.assertRaises(ValueError):
                split_address(text)


class ReloadTests(unittest.TestCase):
    def test_every_key_has_a_reload_rule_and_a_description(self):
        """Guards against a new key without a defined reload behaviour."""
        for settings_type in SETTINGS_TYPES.values():
            names = [field.name for field in msgspec.structs.fields(settings_type)]
            self.assertEqual(sorted(RELOAD_RULES[settings_type]), sorted(names))
            self.assertEqual(sorted(documented_keys(settings_type)), sorted(names))

    def test_changed_keys_that_require_a_restart_are_returned(self):
        old = parse_entry().ok
        new = msgspec.structs.replace(
            old, peers=("10.0.0.1:1",), http_address="127.0.0.1:9"
        )
        self.assertEqual(keys_requiring_restart(old, new), ("http_address",))


class ReferenceTests(unittest.TestCase):
    def test_generated_page_is_up_to_date(self):
        """Guards against documentation that differs from the settings classes."""
        page = ROOT.joinpath("docs", "settings.md").read_text(encoding="utf-8")
        self.assertEqual(page, render_reference())
