"""Runs the command-line interface: ``python -m fighitch``."""

import sys

from fighitch.cli.app import main

if __name__ == "__main__":
    sys.exit(main())
