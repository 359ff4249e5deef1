"""Resolves the caller, the target and the work policy of a request."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from fighitch.core.entry.indexes import Indexes, Target
from fighitch.core.entry.policies import allowed_policies, choose_policy
from fighitch.core.errors import Failure
from fighitch.core.resources import Resource

# Adapter popularity is skewed, so a few thousand combinations of caller and target
# cover most requests.
_MAX_CACHE_ENTRIES = 4_096


@dataclass(frozen=True, slots=True)
class Plan:
    """Caller, target and work policy of a request.

    Attributes:
        caller: Authenticated caller.
        target: Adapter version or service.
        policy: Work policy.
    """

    caller: Resource
    target: Target
    policy: Resource


@dataclass(frozen=True, slots=True)
class _AllowedPolicies:
    """Resolved caller and target, with the work policies that apply to them."""

    caller: Resource
    target: Target
    policies: tuple[Resource, ...]


class RequestPlanner:
    """Authenticates callers, resolves targets and chooses work policies.

    Results that depend only on caller and target are cached until the configuration
    changes, because most requests repeat an earlier combination.
    """

    def __init__(self, indexes: Indexes) -> None:
        self._indexes = indexes
        self._generation = -1
        self._cache: dict[tuple[str, str, str], Result[_AllowedPolicies, Failure]] = {}

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
        """Returns the plan of a request, or the reason for rejecting it.

        Args:
            key_digest: SHA-256 hex of the bearer key.
            model: ``adapter`` or ``adapter@version``; empty for a service.
            service: Service name; empty for an adapter.
            work: Name of the requested work policy; empty if none.
            method: HTTP method of the call; empty if only a ticket is requested.
            path: Path of the call at the backend server.
        """
        found = self._cached_policies(key_digest, model=model, service=service)
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

    def _cached_policies(
        self, key_digest: str, *, model: str, service: str
    ) -> Result[_AllowedPolicies, Failure]:
        if self._generation != self._indexes.generation:
            self._generation = self._indexes.generation
            self._cache.clear()
        key = (key_digest, model, service)
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        found = self._find_policies(key_digest, model=model, service=service)
        if found.is_ok() and len(self._cache) < _MAX_CACHE_ENTRIES:
            self._cache[key] = found
        return found

    def _find_policies(
        self, key_digest: str, *, model: str, service: str
    ) -> Result[_AllowedPolicies, Failure]:
        caller = self._indexes.authenticate(key_digest)
        if caller.is_error():
            return Error(caller.error)
        target = self._indexes.target(model=model, service=service)
        if target.is_error():
            return Error(target.error)
        policies = allowed_policies(
            self._indexes.policies, caller=caller.ok, targets=target.ok.labels
        )
        return Ok(_AllowedPolicies(caller.ok, target.ok, policies))
