"""Who asks for what, and by which work policy."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from fighitch.core.entry.indexes import Indexes, Target
from fighitch.core.entry.policies import allowed_policies, choose_policy
from fighitch.core.errors import Failure
from fighitch.core.resources import Resource

# Popularity is skewed, so a few thousand combinations cover most requests.
_MAX_KNOWN = 4_096


@dataclass(frozen=True, slots=True)
class Plan:
    """What the configuration says about a request.

    Attributes:
        caller: Authenticated caller.
        target: Adapter version or service.
        policy: Work policy.
    """

    caller: Resource
    target: Target
    policy: Resource


@dataclass(frozen=True, slots=True)
class _Allowed:
    caller: Resource
    target: Target
    policies: tuple[Resource, ...]


class Intake:
    """Authenticates callers, resolves targets and chooses work policies.

    What does not depend on the single call is kept until the configuration changes,
    since most requests repeat an earlier combination of caller and target.
    """

    def __init__(self, indexes: Indexes) -> None:
        self._indexes = indexes
        self._generation = -1
        self._known: dict[tuple[str, str, str], Result[_Allowed, Failure]] = {}

    def plan(
        self,
        key_digest: str,
        *,
        model: str,
        service: str,
        work: str = "",
        method: str = "",
        path: str = "",
    ) -> Result[Plan, Failure]:
        """Returns the plan of a request, or why it is refused.

        Args:
            key_digest: SHA-256 hex of the bearer key.
            model: ``adapter`` or ``adapter@version``; empty for a service.
            service: Service name; empty for an adapter.
            work: Name of the work policy that was asked for; empty if none.
            method: HTTP method of the call; empty if there is no call yet.
            path: Path of the call at the backend server.
        """
        found = self._allowed(key_digest, model=model, service=service)
        if found.is_error():
            return Error(found.error)
        allowed = found.ok
        return choose_policy(
            allowed.policies,
            caller=allowed.caller,
            work=work,
            method=method,
            path=path,
        ).map(lambda policy: Plan(allowed.caller, allowed.target, policy))

    def _allowed(
        self, key_digest: str, *, model: str, service: str
    ) -> Result[_Allowed, Failure]:
        if self._generation != self._indexes.generation:
            self._generation = self._indexes.generation
            self._known.clear()
        key = (key_digest, model, service)
        known = self._known.get(key)
        if known is not None:
            return known
        found = self._find_allowed(key_digest, model=model, service=service)
        if found.is_ok() and len(self._known) < _MAX_KNOWN:
            self._known[key] = found
        return found

    def _find_allowed(
        self, key_digest: str, *, model: str, service: str
    ) -> Result[_Allowed, Failure]:
        caller = self._indexes.authenticate(key_digest)
        if caller.is_error():
            return Error(caller.error)
        target = self._indexes.target(model=model, service=service)
        if target.is_error():
            return Error(target.error)
        policies = allowed_policies(
            self._indexes.policies, caller=caller.ok, targets=target.ok.labels
        )
        return Ok(_Allowed(caller.ok, target.ok, policies))
