"""Command line of the gateway processes: ``python -m fighitch.gateway entry|agent``.

The operators' command line imports many modules that these processes do not use.
Through this module, an entry takes a third of the memory and of the time to start.
"""

import signal
import sys

_EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Runs the process named by the arguments and returns its exit code."""
    # SIGHUP would end the process until its handler is installed. The settings are read
    # later, so that a reload that is ignored here loses nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports take most of the time of a start, so they come afterwards.
    from fighitch.gateway.process import run_agent, run_entry
    from fighitch.observability.bounded_log import write_startup_error

    programs = {"entry": run_entry, "agent": run_agent}
    program = programs.get(arguments[0]) if len(arguments) == 1 else None
    if program is None:
        write_startup_error(f"usage: python -m fighitch.gateway {'|'.join(programs)}")
        return _EXIT_USAGE
    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
