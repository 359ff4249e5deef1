"""Names of the entries' objects in the platform's store."""

# A kind of this project's own, with one object for each entry, named like its instance.
# Operators list its objects to see how many entries share the quotas.
ENTRIES_KIND = "gateway-entries"


def encode_entry() -> dict[str, object]:
    """Returns the content of an entry's object; only its name is read."""
    return {}
