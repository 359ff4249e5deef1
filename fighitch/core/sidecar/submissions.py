"""Validates requests before a sidecar admits them."""

from collections.abc import Mapping

from expression import Error, Ok, Result

from fighitch.core.configuration import ConfigurationStore
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.messages import AdapterVersion, Submit
from fighitch.core.resources import AdapterSpec, BackendServerSpec, Kind
from fighitch.core.sidecar.admission import RankPolicy
from fighitch.core.tickets import Ticket, TicketSigner


class SubmissionValidator:
    """Validates requests against their ticket and the configuration.

    The entry has already validated the request. A sidecar whose configuration is older
    than the entry's must not report "not found"; it reports "not ready", so that the
    entry tries another backend server.
    """

    def __init__(self, store: ConfigurationStore, signer: TicketSigner) -> None:
        self._store = store
        self._signer = signer

    def verify_ticket(self, submit: Submit) -> Result[Ticket | None, Failure]:
        """Returns the verified ticket of an order; None for idempotent work."""
        if not submit.ticket:
            return self._check_idempotent(submit)
        verified = self._signer.verify(submit.ticket)
        if verified.is_error():
            return Error(verified.error)
        if verified.ok.caller != submit.caller:
            return Error(
                Failure(
                    ErrorKind.FORBIDDEN,
                    f"the Idempotency-Key was issued to another caller than "
                    f"{submit.caller!r}; request a new key",
                )
            )
        return Ok(verified.ok)

    def validate(
        self,
        submit: Submit,
        spec: BackendServerSpec,
        policies: Mapping[int, RankPolicy],
    ) -> Failure | None:
        """Returns why a new request cannot be admitted; None if it can.

        Args:
            submit: New request.
            spec: Backend server of this sidecar.
            policies: Configured policies by rank.
        """
        policy = policies.get(submit.rank)
        if policy is None:
            return self._not_ready(f"rank {submit.rank} is not one of {[*policies]}")
        if not policy.idempotent and not submit.ticket:
            return _key_required_failure(submit)
        version = submit.adapter_version
        if (version is not None) != (spec.type == "engine"):
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f"a backend server of type {spec.type!r} cannot run "
                f"{str(version) if version else 'a call without an adapter'!r}",
            )
        return self._check_version(version, spec) if version else None

    def _check_version(
        self, version: AdapterVersion, spec: BackendServerSpec
    ) -> Failure | None:
        resource = self._store.get(Kind.ADAPTER, version.adapter)
        adapter: AdapterSpec | None = resource.spec if resource else None
        if adapter is None or adapter.version(version.version) is None:
            return self._not_ready(f"adapter version {str(version)!r} is not known")
        if adapter.model != spec.model:
            return Failure(
                ErrorKind.NO_BACKEND_SERVER,
                f"adapter {version.adapter!r} is for model {adapter.model!r}, this "
                f"backend server runs {spec.model!r}",
            )
        return None

    def _check_idempotent(self, submit: Submit) -> Result[Ticket | None, Failure]:
        if submit.idempotent:
            return Ok(None)
        return Error(_key_required_failure(submit))

    def _not_ready(self, problem: str) -> Failure:
        return Failure(
            ErrorKind.NOT_READY,
            f"{problem} in configuration revision {self._store.revision}",
        )


def _key_required_failure(submit: Submit) -> Failure:
    return Failure(
        ErrorKind.KEY_REQUIRED,
        f"request {submit.request_id!r} is not idempotent and has no Idempotency-Key; "
        "request one at /v1/idempotency-keys",
    )
