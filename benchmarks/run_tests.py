"""Runs every test of the repository and closes with ``N passed, N failed``.

Tests listed in KNOWN-RED.txt run too; their failures are printed but do not fail the
run. An entry is one line that starts with ``test:`` and names the test id.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FOLDERS = ("fighitch/tests", "standins/tests", "benchmarks/tests")


def known_red() -> frozenset[str]:
    """Returns the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def main() -> int:
    """Runs the tests.

    Returns:
        0 if every test passed that is not known to fail, else 1.
    """
    suite = unittest.TestSuite()
    for folder in TEST_FOLDERS:
        if (ROOT / folder).is_dir():
            suite.addTests(
                unittest.TestLoader().discover(
                    str(ROOT / folder), top_level_dir=str(ROOT)
                )
            )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    red = known_red()
    failures = [test.id() for test, _ in (*result.failures, *result.errors)] + [
        test.id() for test in result.unexpectedSuccesses
    ]
    unexpected = [test for test in failures if test not in red]
    for test in sorted(set(failures) & red):
        print(f"known red: {test}")
    failed = len(unexpected)
    passed = result.testsRun - len(failures) - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
