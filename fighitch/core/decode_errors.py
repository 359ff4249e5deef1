"""Exceptions that msgspec raises for input that does not have the expected form."""

import msgspec

# msgspec raises RecursionError for values that are nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
