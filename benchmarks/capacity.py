"""Measures the slopes in docs/CAPACITY.md and extrapolates them to the design size.

``--part NAME`` measures one part and prints its slopes. Without it all parts run, and
``--write`` replaces the marked section of the page with the resulting tables.
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
from benchmarks.capacity_figures import Measurements, derive_figures
from benchmarks.slopes import Figure, figure_table, rounded, slope_table
from benchmarks.streams_run import StreamResults

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SECTION_BEGIN = "<!-- begin: written by python -m benchmarks.capacity --write -->"
SECTION_END = "<!-- end -->"
PARTS = ("core", "idle", "streams", "client", "membership")
_MS = 1_000
_PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True)
class RunInfo:
    """Start, duration, commit and machine of a measurement."""

    started_at: str
    seconds: float
    commit: str
    cores: int
    load_average: tuple[float, float, float]


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command.

    Returns:
        0, also if budgets are missed; the report lists the missed ones.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=PARTS, help="measure one part only")
    parser.add_argument("--write", action="store_true", help="write the page's tables")
    options = parser.parse_args(arguments)
    if options.part:
        print(measure_part(options.part))
        return 0
    started_at, start = (
        time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime()),
        time.monotonic(),
    )
    load_average = os.getloadavg()
    measured_commit = describe_commit()
    measured = measure()
    seconds = time.monotonic() - start
    run = RunInfo(
        started_at, seconds, measured_commit, os.cpu_count() or 0, load_average
    )
    text = format_section(measured, run)
    print(text)
    if options.write:
        PAGE.write_text(replace_section(PAGE.read_text(), text))
    return 0


def measure() -> Measurements:
    """Measures all parts sequentially."""
    core = [*core_run.measure(), *decision_run.measure()]
    idle, readings = idle_run.measure()
    streams = streams_run.measure()
    client = client_run.measure()
    membership = membership_run.measure()
    slopes = [
        *core,
        *idle,
        *streams.slopes,
        *client,
        *membership_run.slopes(membership),
    ]
    return Measurements(
        {item.name: item for item in slopes}, readings, streams, tuple(membership)
    )


def measure_part(name: str) -> str:
    """Measures one part and returns its Markdown tables."""
    if name == "core":
        return slope_table([*core_run.measure(), *decision_run.measure()])
    if name == "idle":
        slopes, readings = idle_run.measure()
        return f"{slope_table(slopes)}\n\n{_readings_table(readings.items())}"
    if name == "streams":
        streams = streams_run.measure()
        return f"{slope_table(streams.slopes)}\n\n{_stream_tables(streams)}"
    if name == "client":
        return slope_table(client_run.measure())
    membership = membership_run.measure()
    slopes = membership_run.slopes(membership)
    return f"{slope_table(slopes)}\n\n{membership_run.table(membership)}"


def format_section(measured: Measurements, run: RunInfo) -> str:
    """Returns the generated section of the page as Markdown."""
    figures = derive_figures(measured)
    missed = [item for item in figures if item.verdict == "missed"]
    one, five, fifteen = run.load_average
    parts = [
        f"Last run: {run.started_at}, {run.seconds:.0f} s, commit `{run.commit}`, "
        f"{run.cores} cores shared with other runs (load average at the start "
        f"{one:.1f}, {five:.1f}, {fifteen:.1f}), Python {sys.version.split()[0]}.",
        "### At the size to design for",
        figure_table(figures),
        "### Missed",
        _missed_targets(missed),
        "### Slopes",
        slope_table(list(measured.slopes.values())),
        "### Readings",
        _readings_table(measured.readings.items()),
        "### Streams",
        _stream_tables(measured.streams),
        "### Membership",
        membership_run.table(measured.membership),
    ]
    return "\n\n".join(parts)


def replace_section(page: str, text: str) -> str:
    """Returns the page with the text between its markers replaced.

    Raises:
        ValueError: If the page does not contain both markers.
    """
    before, begin, rest = page.partition(SECTION_BEGIN)
    _, end, after = rest.partition(SECTION_END)
    if not begin or not end:
        raise ValueError(
            f"{PAGE} must contain the lines {SECTION_BEGIN!r} and {SECTION_END!r}"
        )
    return f"{before}{SECTION_BEGIN}\n\n{text}\n\n{SECTION_END}{after}"


def describe_commit() -> str:
    """Returns the commit of the work tree, marked if files outside docs/ differ."""
    head = _git("rev-parse", "--short", "HEAD")
    changes = _git("status", "--porcelain", "--untracked-files=no")
    changed = [line for line in changes.splitlines() if "docs/" not in line]
    return f"{head}{' with changes' if changed else ''}"


def _git(*arguments: str) -> str:
    process = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True
    )
    return (
        process.stdout.strip() or "unknown"
        if arguments[0] == "rev-parse"
        else process.stdout
    )


def _missed_targets(missed: Sequence[Figure]) -> str:
    if not missed:
        return "No budget is missed."
    return "\n".join(
        f"- {item.role}, {item.quantity}: {rounded(item.value)} {item.unit}, target "
        f"{rounded(item.target or 0)} {item.unit}."
        for item in missed
    )


def _readings_table(readings: Iterable[tuple[str, float]]) -> str:
    limit = size.TARGET_MEMORY_BYTES
    rows = ["| reading | resident bytes | target | |", "|---|---|---|---|"]
    for name, value in readings:
        verdict = "met" if value <= limit else "missed"
        rows.append(f"| {name} | {value:,.0f} | {limit:,} | {verdict} |")
    return "\n".join(rows)


def _stream_tables(results: StreamResults) -> str:
    comparison = results.comparison
    rows = [
        "| percentile | first token direct | through | added | between tokens direct | "
        "through | added |",
        "|---|---|---|---|---|---|---|",
    ]
    for percentile in _PERCENTILES:
        values = (
            comparison.direct.first_token[percentile],
            comparison.proxied.first_token[percentile],
            comparison.added_first_token(percentile),
            comparison.direct.between_tokens[percentile],
            comparison.proxied.between_tokens[percentile],
            comparison.added_between_tokens(percentile),
        )
        cells = " | ".join(f"{value * _MS:.2f} ms" for value in values)
        rows.append(f"| p{percentile:.0f} | {cells} |")
    rows += [
        "",
        "| tokens in a message | tokens/s | share of a core (entry) | tokens/s for a "
        "core | time between messages, p95 | at 27 ms a token |",
        "|---|---|---|---|---|---|",
    ]
    for batch in results.batching:
        target_gap = batch.tokens_per_message * size.TARGET_BETWEEN_TOKENS_SECONDS
        rows.append(
            f"| {batch.tokens_per_message} | {batch.tokens_per_second:.0f} | "
            f"{batch.core_share:.3f} | {batch.tokens_per_core:,.0f} | "
            f"{batch.message_gap_p95 * _MS:.0f} ms | {target_gap * _MS:.0f} ms |"
        )
    return "\n".join(rows)


if __name__ == "__main__":
    sys.exit(main())
