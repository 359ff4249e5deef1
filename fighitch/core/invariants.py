"""Checks of what must hold at every moment, kept on in production.

A violated invariant means that the program's own state is wrong, never that a peer or
a backend server misbehaved. The process stops rather than serve from such a state.
"""


class InvariantViolation(AssertionError):  # noqa: N818 - the established name
    """The program's own state contradicts an invariant."""


def check(condition: bool, name: str, **fields: object) -> None:
    """Raises if an invariant does not hold.

    Args:
        condition: What must be true.
        name: Name of the invariant in snake case.
        **fields: Values that help to find the cause.

    Raises:
        InvariantViolation: If the condition is false.
    """
    if condition:
        return
    values = " ".join(f"{key}={value!r}" for key, value in sorted(fields.items()))
    raise InvariantViolation(f"invariant={name} {values}".rstrip())
