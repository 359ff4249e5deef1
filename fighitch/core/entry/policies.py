"""Selects the work policy of a request."""

from collections.abc import Iterable, Sequence

from expression import Error, Ok, Result

from fighitch.core.configuration import cached_selector
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.resources import Resource, WorkPolicySpec
from fighitch.types import Labels


def allowed_policies(
    policies: Iterable[Resource], *, caller: Resource, targets: Sequence[Labels]
) -> tuple[Resource, ...]:
    """Returns the work policies that a caller may use for a target.

    Args:
        policies: All work policies, ordered from the most urgent rank.
        caller: Authenticated caller.
        targets: Labels of the adapter, or of each backend server of the service. A
            policy matches if its selector matches any of them.
    """
    return tuple(item for item in policies if _matches(item, caller, targets))


def choose_policy(
    allowed: Sequence[Resource],
    *,
    caller: Resource,
    work: str = "",
    method: str = "",
    path: str = "",
) -> Result[Resource, Failure]:
    """Selects the work policy of a request.

    Args:
        allowed: Policies that the caller may use for the target.
        caller: Authenticated caller.
        work: Name of the requested policy; empty selects the first match.
        method: HTTP method of the call; empty matches every policy.
        path: Path of the call at the backend server.

    Returns:
        The policy, or a failure that names the policies that the caller may use.
    """
    covering = [item for item in allowed if _covers(item.spec, method, path)]
    for policy in covering:
        if not work or policy.name == work:
            return Ok(policy)
    names = [policy.name for policy in covering]
    problem = (
        f"work policy {work!r} does not cover this request"
        if work
        else "no work policy covers this request"
    )
    return Error(
        Failure(
            ErrorKind.FORBIDDEN,
            f"{problem}; caller {caller.name!r} may use {names} for this call; "
            "ask an operator for a WorkPolicy whose selectors match",
        )
    )


def _matches(policy: Resource, caller: Resource, targets: Sequence[Labels]) -> bool:
    if not cached_selector(policy.spec.caller_selector).matches(caller.labels):
        return False
    selector = cached_selector(policy.spec.target_selector)
    return any(selector.matches(labels) for labels in targets)


def _covers(spec: WorkPolicySpec, method: str, path: str) -> bool:
    if not method:
        return True
    if spec.methods and method.upper() not in spec.methods:
        return False
    return not spec.path_prefixes or path.startswith(spec.path_prefixes)
