"""Choice of the work policy of a request."""

from collections.abc import Iterable, Sequence

from expression import Error, Ok, Result

from fighitch.core.configuration import cached_selector
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.resources import Resource
from fighitch.types import Labels


def choose_policy(
    policies: Iterable[Resource],
    *,
    caller: Resource,
    targets: Sequence[Labels],
    work: str,
) -> Result[Resource, Failure]:
    """Chooses the work policy.

    Args:
        policies: All work policies, the most urgent rank first.
        caller: Authenticated caller.
        targets: Labels of the adapter, or of each backend server of the service; one
            match is enough.
        work: Name that the caller asked for; empty to take the first match.

    Returns:
        The policy, or a failure that names those which the caller may use.
    """
    allowed = [item for item in policies if _matches(item, caller, targets)]
    for policy in allowed:
        if not work or policy.name == work:
            return Ok(policy)
    names = [policy.name for policy in allowed]
    problem = (
        f"work policy {work!r} does not cover this request"
        if work
        else "no work policy"
    )
    return Error(
        Failure(
            ErrorKind.FORBIDDEN,
            f"{problem}; caller {caller.name!r} may use {names} for this target; "
            "ask an operator for a WorkPolicy whose selectors match",
        )
    )


def _matches(policy: Resource, caller: Resource, targets: Sequence[Labels]) -> bool:
    if not cached_selector(policy.spec.caller_selector).matches(caller.labels):
        return False
    selector = cached_selector(policy.spec.target_selector)
    return any(selector.matches(labels) for labels in targets)
