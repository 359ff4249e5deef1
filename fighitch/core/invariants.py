"""Invariant checks that stay enabled in production.

A violated invariant means that the state of this process is corrupt, never that a peer
or a backend server misbehaved. The process stops instead of serving from such a state.
"""


class InvariantViolation(AssertionError):  # noqa: N818 - the established name
    """The state of this process violates an invariant."""


def check(condition: bool, name: str, **fields: object) -> None:
    """Raises if an invariant does not hold.

    Args:
        condition: Condition that must be true.
        name: Name of the invariant in snake case.
        **fields: Values to include in the message for debugging.

    Raises:
        InvariantViolation: If the condition is false.
    """
    if condition:
        return
    values = " ".join(f"{key}={value!r}" for key, value in sorted(fields.items()))
    raise InvariantViolation(f"invariant={name} {values}".rstrip())
