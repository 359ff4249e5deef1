"""Processor time and memory use of a process, read from ``/proc``."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

from fighitch.types import Seconds

_KIB = 1_024
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class ProcessUsage:
    """Resource use of a process at one point in time.

    Attributes:
        at: Monotonic time of the reading.
        cpu: Processor time since the start of the process, in seconds.
        resident: Resident memory, in bytes.
        anonymous: Anonymous resident memory, in bytes.
        threads: Number of threads.
    """

    at: Seconds
    cpu: Seconds
    resident: int
    anonymous: int
    threads: int


def read_usage(pid: int) -> ProcessUsage:
    """Reads the resource use of a process."""
    folder = Path(f"/proc/{pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    lines = (folder / "status").read_text().splitlines()
    status = dict(line.split(":", 1) for line in lines if ":" in line)

    def kib(name: str) -> int:
        return int(status[name].split()[0]) * _KIB

    # Fields 14 and 15 of /proc/<pid>/stat: user and system time in clock ticks.
    cpu = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
    return ProcessUsage(
        time.monotonic(), cpu, kib("VmRSS"), kib("RssAnon"), int(status["Threads"])
    )


def cpu_share(before: ProcessUsage, after: ProcessUsage) -> float:
    """Returns the processor time between two readings, as a share of one core."""
    return (after.cpu - before.cpu) / (after.at - before.at)
