"""Claims, which bind caller-chosen keys to tickets, in the object API."""

from dataclasses import dataclass

from fighitch.core.errors import ErrorKind
from fighitch.core.http_calls import CallResult, HttpCall, NoAnswer
from fighitch.core.inputs import ClaimStatus
from fighitch.core.object_api import CLAIM_KIND, create_call, read_document
from fighitch.core.resources import API_VERSION


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """How one call for a claim ended; ``ticket`` is the stored one, if it was read."""

    status: ClaimStatus
    ticket: str = ""


def create_claim_call(name: str, ticket: str) -> HttpCall:
    """Returns the call that binds a caller-chosen key to a ticket."""
    return create_call(
        {
            "apiVersion": API_VERSION,
            "kind": CLAIM_KIND,
            "metadata": {"name": name},
            "spec": {"ticket": ticket},
        }
    )


def read_created_claim(result: CallResult, ticket: str) -> ClaimAnswer:
    """Interprets the answer to the creation of a claim."""
    if isinstance(result, NoAnswer):
        lost = ClaimStatus.ANSWER_LOST if result.sent else ClaimStatus.UNAVAILABLE
        return ClaimAnswer(lost)
    if 200 <= result.status < 300:
        return ClaimAnswer(ClaimStatus.CREATED, ticket)
    if result.status == 409:
        return ClaimAnswer(ClaimStatus.EXISTS)
    if result.status >= 500:
        return ClaimAnswer(ClaimStatus.ANSWER_LOST)
    return ClaimAnswer(ClaimStatus.UNAVAILABLE)


def read_found_claim(result: CallResult) -> ClaimAnswer:
    """Interprets the answer to the reading of a claim."""
    found = read_document(result)
    if found.is_error():
        is_absent = found.error.kind is ErrorKind.UNKNOWN_ROUTE
        return ClaimAnswer(
            ClaimStatus.NOT_FOUND if is_absent else ClaimStatus.UNAVAILABLE
        )
    ticket = (found.ok.get("spec") or {}).get("ticket")
    if not isinstance(ticket, str) or not ticket:
        return ClaimAnswer(ClaimStatus.UNAVAILABLE)
    return ClaimAnswer(ClaimStatus.EXISTS, ticket)
