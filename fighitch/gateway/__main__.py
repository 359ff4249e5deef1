"""Runs a process of the direct path: ``python -m fighitch.gateway entry|agent``.

The operators' command line imports far more than these processes need; started this way
an entry takes a third of the memory and of the start time.
"""

import sys

from fighitch.gateway.process import run_agent, run_entry
from fighitch.observability.bounded_log import write_failure

_PROGRAMS = {"entry": run_entry, "agent": run_agent}
_EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Runs the program that the arguments name."""
    program = _PROGRAMS.get(arguments[0]) if len(arguments) == 1 else None
    if program is None:
        write_failure(f"usage: python -m fighitch.gateway {'|'.join(_PROGRAMS)}")
        return _EXIT_USAGE
    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
