"""State of one attempt to run a request on a backend server."""

from dataclasses import dataclass, field

from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds


@dataclass(slots=True)
class AttemptState:
    """What a relay knows of its current attempt.

    Attributes:
        sent_at: Time at which the request was sent.
        late: Whether it had missed its latency target when it was admitted.
        head: Head of the response; None if it has not arrived.
        is_stream: Whether the response is a stream of events that is passed on.
        buffered_body: Body that is not yet passed on.
        begun_at: Time of its first event; infinite if there is none.
        answered: Whether its answer is under way without harm to the server.
    """

    sent_at: Seconds = 0.0
    late: bool = False
    head: ResponseHead | None = None
    is_stream: bool = False
    buffered_body: bytearray = field(default_factory=bytearray)
    begun_at: Seconds = float("inf")
    answered: bool = False
