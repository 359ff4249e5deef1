"""Who asks for what, and by which work policy."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from fighitch.core.entry.indexes import Indexes, Target
from fighitch.core.entry.policies import choose_policy
from fighitch.core.errors import Failure
from fighitch.core.resources import Resource

# Popularity is skewed, so a few thousand plans cover most requests.
_MAX_PLANS = 4_096


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


class Intake:
    """Authenticates callers, resolves targets and chooses work policies.

    Plans are kept until the configuration changes, since most requests repeat an
    earlier combination of caller, target and work.
    """

    def __init__(self, indexes: Indexes) -> None:
        self._indexes = indexes
        self._generation = -1
        self._plans: dict[tuple[str, str, str, str], Result[Plan, Failure]] = {}

    def plan(
        self, key_digest: str, *, model: str, service: str, work: str
    ) -> Result[Plan, Failure]:
        """Returns the plan of a request, or why it is refused.

        Args:
            key_digest: SHA-256 hex of the bearer key.
            model: ``adapter`` or ``adapter@version``; empty for a service.
            service: Service name; empty for an adapter.
            work: Name of the work policy that was asked for; empty if none.
        """
        if self._generation != self._indexes.generation:
            self._generation = self._indexes.generation
            self._plans.clear()
        key = (key_digest, model, service, work)
        known = self._plans.get(key)
        if known is not None:
            return known
        planned = self._make(key_digest, model=model, service=service, work=work)
        if planned.is_ok() and len(self._plans) < _MAX_PLANS:
            self._plans[key] = planned
        return planned

    def _make(
        self, key_digest: str, *, model: str, service: str, work: str
    ) -> Result[Plan, Failure]:
        caller = self._indexes.authenticate(key_digest)
        if caller.is_error():
            return Error(caller.error)
        target = self._indexes.target(model=model, service=service)
        if target.is_error():
            return Error(target.error)
        policy = choose_policy(
            self._indexes.policies,
            caller=caller.ok,
            targets=target.ok.labels,
            work=work,
        )
        if policy.is_error():
            return Error(policy.error)
        return Ok(Plan(caller.ok, target.ok, policy.ok))
