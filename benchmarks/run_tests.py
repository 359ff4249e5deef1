"""Runs all tests of the repository and ends its output with ``N passed, N failed``.

Tests listed in KNOWN-RED.txt run too; their failures are printed but do not fail the
run. An entry has one line that starts with ``test:`` and contains the test id.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
TEST_FOLDERS = ("fighitch/tests", "standins/tests", "benchmarks/tests")


def known_failures() -> frozenset[str]:
    """Returns the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return frozenset()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def main() -> int:
    """Runs the tests.

    Returns:
        0 if no test fails except known failures, else 1.
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
    known = known_failures()
    failures = [test.id() for test, _ in (*result.failures, *result.errors)] + [
        test.id() for test in result.unexpectedSuccesses
    ]
    unexpected = [test for test in failures if test not in known]
    for test in sorted(set(failures) & known):
        print(f"known red: {test}")
    failed = len(unexpected)
    passed = result.testsRun - len(failures) - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
