"""Claims: objects in the object API that bind caller-chosen keys to tickets."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from email.utils import parsedate_to_datetime

from expression import Error, Ok, Result

from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.http_calls import CallResult, HttpCall, NoResponse
from fighitch.core.inputs import ClaimStatus
from fighitch.core.object_api import (
    CLAIM_KIND,
    Document,
    create_call,
    parse_document,
    revision_of,
)
from fighitch.core.resources import API_VERSION
from fighitch.types import Revision

# A ticket is rejected after at most 7 epochs of 10 minutes, which is 70 minutes. A
# claim must outlive its ticket; otherwise a repeated request would bind the key to a
# new ticket and run the order a second time.
MIN_PRUNE_AGE = timedelta(hours=2)


@dataclass(frozen=True, slots=True)
class ClaimList:
    """All claims and the time at which they were listed.

    Attributes:
        documents: The claims.
        now: Time on the object API's clock. Creation times come from the same clock,
            so ages do not depend on clock skew between hosts.
    """

    documents: tuple[Document, ...]
    now: datetime


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of a call that creates or reads a claim.

    ``ticket`` is the stored ticket, or empty if the call did not return it.
    """

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


def parse_create_claim_result(result: CallResult, ticket: str) -> ClaimResult:
    """Parses the result of creating a claim.

    A server error is treated like a lost response: the claim may have been created.
    """
    if isinstance(result, NoResponse):
        status = ClaimStatus.ANSWER_LOST if result.sent else ClaimStatus.UNAVAILABLE
        return ClaimResult(status)
    if 200 <= result.status < 300:
        return ClaimResult(ClaimStatus.CREATED, ticket)
    if result.status == 409:
        return ClaimResult(ClaimStatus.EXISTS)
    if result.status >= 500:
        return ClaimResult(ClaimStatus.ANSWER_LOST)
    return ClaimResult(ClaimStatus.UNAVAILABLE)


def parse_read_claim_result(result: CallResult) -> ClaimResult:
    """Parses the result of reading a claim."""
    parsed = parse_document(result)
    if parsed.is_error():
        is_absent = parsed.error.kind is ErrorKind.UNKNOWN_ROUTE
        return ClaimResult(
            ClaimStatus.NOT_FOUND if is_absent else ClaimStatus.UNAVAILABLE
        )
    ticket = (parsed.ok.get("spec") or {}).get("ticket")
    if not isinstance(ticket, str) or not ticket:
        # The ticket that the key is bound to is unknown, so the order must not run.
        return ClaimResult(ClaimStatus.UNAVAILABLE)
    return ClaimResult(ClaimStatus.EXISTS, ticket)


def parse_claim_list(result: CallResult) -> Result[ClaimList, Failure]:
    """Parses the result of listing all claims."""
    parsed = parse_document(result)
    # NoResponse is always an error; the second condition narrows the type.
    if parsed.is_error() or isinstance(result, NoResponse):
        return Error(parsed.error)
    try:
        now = parsedate_to_datetime(result.headers.get("date", ""))
    except ValueError:
        detail = "the response of the object API has no valid Date header"
        return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
    return Ok(ClaimList(tuple(parsed.ok.get("items") or ()), now))


def claims_older_than(
    claims: ClaimList, age: timedelta
) -> Iterator[tuple[str, Revision]]:
    """Yields the name and resource version of each claim older than ``age``.

    Claims without a valid creation time are skipped, so they are never pruned.
    """
    for document in claims.documents:
        metadata = document.get("metadata") or {}
        try:
            created = datetime.fromisoformat(str(metadata.get("creationTimestamp")))
        except ValueError:
            continue
        if created.tzinfo is not None and claims.now - created > age:
            yield metadata["name"], revision_of(document)
