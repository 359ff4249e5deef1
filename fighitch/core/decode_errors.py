"""What decoding raises for bytes that are not a document of the expected form."""

import msgspec

# msgspec raises RecursionError for values that are nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
