"""Measures the slopes behind docs/CAPACITY.md and derives the two-year size from them.

``--part NAME`` measures one part and prints its slopes; without it all parts run, and
``--write`` puts the tables into the marked section of the page.
"""

import argparse
import os
import subprocess
import sys
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks import (
    client_run,
    core_run,
    decision_run,
    design_size as size,
    idle_run,
    membership_run,
    streams_run,
)
from benchmarks.capacity_figures import Measured, figures
from benchmarks.slopes import Figure, figure_table, number, slope_table
from benchmarks.streams_run import StreamResults

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: written by python -m benchmarks.capacity --write -->"
END = "<!-- end -->"
PARTS = ("core", "idle", "streams", "client", "membership")
_MS = 1_000
_PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True)
class Run:
    """Where and when the measurement ran."""

    began: str
    seconds: float
    commit: str
    cores: int
    load: tuple[float, float, float]


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command.

    Returns:
        0; budgets that are missed are stated, not an error of the measurement.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=PARTS, help="measure one part only")
    parser.add_argument("--write", action="store_true", help="write the page's tables")
    options = parser.parse_args(arguments)
    if options.part:
        print(part(options.part))
        return 0
    began, clock = (
        time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime()),
        time.monotonic(),
    )
    load = os.getloadavg()
    measured_commit = commit()
    measured = measure()
    seconds = time.monotonic() - clock
    run = Run(began, seconds, measured_commit, os.cpu_count() or 0, load)
    text = report(measured, run)
    print(text)
    if options.write:
        PAGE.write_text(replaced(PAGE.read_text(), text))
    return 0


def measure() -> Measured:
    """Measures all parts, one after the other."""
    core = [*core_run.measure(), *decision_run.measure()]
    idle, readings = idle_run.measure()
    streams = streams_run.measure()
    client = client_run.measure()
    members = membership_run.measure()
    slopes = [
        *core,
        *idle,
        *streams.slopes,
        *client,
        *membership_run.slopes(members),
    ]
    return Measured(
        {item.name: item for item in slopes}, readings, streams, tuple(members)
    )


def part(name: str) -> str:
    """Measures one part and returns its tables."""
    if name == "core":
        return slope_table([*core_run.measure(), *decision_run.measure()])
    if name == "idle":
        slopes, readings = idle_run.measure()
        return f"{slope_table(slopes)}\n\n{_readings(readings.items())}"
    if name == "streams":
        found = streams_run.measure()
        return f"{slope_table(found.slopes)}\n\n{_streams(found)}"
    if name == "client":
        return slope_table(client_run.measure())
    members = membership_run.measure()
    slopes = membership_run.slopes(members)
    return f"{slope_table(slopes)}\n\n{membership_run.table(members)}"


def report(measured: Measured, run: Run) -> str:
    """Returns the tables of the page."""
    found = figures(measured)
    missed = [item for item in found if item.verdict == "missed"]
    one, five, fifteen = run.load
    parts = [
        f"Last run: {run.began}, {run.seconds:.0f} s, commit `{run.commit}`, "
        f"{run.cores} cores shared with other runs (load average at the start "
        f"{one:.1f}, {five:.1f}, {fifteen:.1f}), Python {sys.version.split()[0]}.",
        "### At the size to design for",
        figure_table(found),
        "### Missed",
        _missed(missed),
        "### Slopes",
        slope_table(list(measured.slopes.values())),
        "### Readings",
        _readings(measured.readings.items()),
        "### Streams",
        _streams(measured.streams),
        "### Membership",
        membership_run.table(measured.members),
    ]
    return "\n\n".join(parts)


def replaced(page: str, text: str) -> str:
    """Returns the page with a new marked section.

    Raises:
        ValueError: If the page has no marked section.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"{PAGE} must contain the lines {BEGIN!r} and {END!r}")
    return f"{before}{BEGIN}\n\n{text}\n\n{END}{after}"


def commit() -> str:
    """Returns the commit of the working tree, marked if it has changes."""
    head = _git("rev-parse", "--short", "HEAD")
    changes = _git("status", "--porcelain", "--untracked-files=no")
    changed = [line for line in changes.splitlines() if "docs/" not in line]
    return f"{head}{' with changes' if changed else ''}"


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True
    )
    return (
        done.stdout.strip() or "unknown" if arguments[0] == "rev-parse" else done.stdout
    )


def _missed(missed: Sequence[Figure]) -> str:
    if not missed:
        return "No budget is missed."
    return "\n".join(
        f"- {item.role}, {item.what}: {number(item.value)} {item.unit}, target "
        f"{number(item.target or 0)} {item.unit}."
        for item in missed
    )


def _readings(readings: Iterable[tuple[str, float]]) -> str:
    limit = size.TARGET_MEMORY_BYTES
    rows = ["| reading | resident bytes | target | |", "|---|---|---|---|"]
    for name, value in readings:
        verdict = "met" if value <= limit else "missed"
        rows.append(f"| {name} | {value:,.0f} | {limit:,} | {verdict} |")
    return "\n".join(rows)


def _streams(found: StreamResults) -> str:
    compared = found.comparison
    rows = [
        "| percentile | first token direct | through | added | between tokens direct | "
        "through | added |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in _PERCENTILES:
        values = (
            compared.direct.first_token[item],
            compared.through.first_token[item],
            compared.added_first_token(item),
            compared.direct.between_tokens[item],
            compared.through.between_tokens[item],
            compared.added_between_tokens(item),
        )
        cells = " | ".join(f"{value * _MS:.2f} ms" for value in values)
        rows.append(f"| p{item:.0f} | {cells} |")
    rows += [
        "",
        "| tokens in a message | tokens/s | share of a core (entry) | tokens/s for a "
        "core | time between messages, p95 | at 27 ms a token |",
        "|---|---|---|---|---|---|",
    ]
    for batch in found.batching:
        spacing = batch.tokens_per_message * size.TARGET_BETWEEN_TOKENS_SECONDS
        rows.append(
            f"| {batch.tokens_per_message} | {batch.tokens_per_second:.0f} | "
            f"{batch.share:.3f} | {batch.tokens_per_core:,.0f} | "
            f"{batch.between_messages * _MS:.0f} ms | {spacing * _MS:.0f} ms |"
        )
    return "\n".join(rows)


if __name__ == "__main__":
    sys.exit(main())
