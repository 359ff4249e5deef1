"""Decides whether a response can continue an event stream that has begun."""

from dataclasses import dataclass

_EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True, slots=True)
class StreamFormat:
    """Properties of a response that all runs of one stream share.

    Attributes:
        status: HTTP status.
        media_type: Lowercase media type without parameters; empty if not stated.
    """

    status: int
    media_type: str = ""

    def can_continue(self, begun: "StreamFormat") -> bool:
        """Returns whether a response of this format can continue a stream.

        Args:
            begun: Format of the response whose head the caller has.
        """
        if self.status != begun.status:
            return False
        return self.media_type in ("", begun.media_type or _EVENT_STREAM)
