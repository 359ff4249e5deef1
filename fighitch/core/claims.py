"""Claims, which bind caller-chosen keys to tickets, in the object API."""

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

# A ticket is refused after 7 epochs of 10 minutes at the latest. A claim must outlive
# its ticket, or a repeat would bind the key to a new ticket and run the order again.
MIN_PRUNE_AGE = timedelta(hours=2)


@dataclass(frozen=True, slots=True)
class ClaimList:
    """All claims and the object API's own time.

    Attributes:
        documents: The claims.
        now: Time of the object API; the age of a claim is taken by this clock alone.
    """

    documents: tuple[Document, ...]
    now: datetime


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


def parse_create_claim_result(result: CallResult, ticket: str) -> ClaimAnswer:
    """Interprets the answer to the creation of a claim."""
    if isinstance(result, NoResponse):
        lost = ClaimStatus.ANSWER_LOST if result.sent else ClaimStatus.UNAVAILABLE
        return ClaimAnswer(lost)
    if 200 <= result.status < 300:
        return ClaimAnswer(ClaimStatus.CREATED, ticket)
    if result.status == 409:
        return ClaimAnswer(ClaimStatus.EXISTS)
    if result.status >= 500:
        return ClaimAnswer(ClaimStatus.ANSWER_LOST)
    return ClaimAnswer(ClaimStatus.UNAVAILABLE)


def parse_read_claim_result(result: CallResult) -> ClaimAnswer:
    """Interprets the answer to the reading of a claim."""
    found = parse_document(result)
    if found.is_error():
        is_absent = found.error.kind is ErrorKind.UNKNOWN_ROUTE
        return ClaimAnswer(
            ClaimStatus.NOT_FOUND if is_absent else ClaimStatus.UNAVAILABLE
        )
    ticket = (found.ok.get("spec") or {}).get("ticket")
    if not isinstance(ticket, str) or not ticket:
        return ClaimAnswer(ClaimStatus.UNAVAILABLE)
    return ClaimAnswer(ClaimStatus.EXISTS, ticket)


def parse_claim_list(result: CallResult) -> Result[ClaimList, Failure]:
    """Interprets the answer to the listing of claims."""
    listed = parse_document(result)
    if listed.is_error() or isinstance(result, NoResponse):
        return Error(listed.error)
    try:
        now = parsedate_to_datetime(result.headers.get("date", ""))
    except ValueError:
        detail = "the object API's answer has no readable Date header"
        return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
    return Ok(ClaimList(tuple(listed.ok.get("items") or ()), now))


def claims_older_than(
    claims: ClaimList, age: timedelta
) -> Iterator[tuple[str, Revision]]:
    """Yields name and version of each claim that is older than an age.

    A claim without a readable time of creation is kept.
    """
    for document in claims.documents:
        metadata = document.get("metadata") or {}
        try:
            created = datetime.fromisoformat(str(metadata.get("creationTimestamp")))
        except ValueError:
            continue
        if created.tzinfo is not None and claims.now - created > age:
            yield metadata["name"], revision_of(document)
