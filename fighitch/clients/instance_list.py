"""Client of the platform's list of live and leaving instances."""

import msgspec

from fighitch.clients.http_client import HttpClient
from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.http_calls import HttpCall, HttpResponse

_STATUS_OK = 200


class Instances(msgspec.Struct, frozen=True):
    """The platform's list, which lags.

    Attributes:
        live: Names of live instances.
        leaving: Names of instances that are about to stop.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


def list_instances(client: HttpClient) -> Instances | None:
    """Asks for the list; None if there is no usable answer."""
    answer = client.call(HttpCall("GET", "/instances"))
    if not isinstance(answer, HttpResponse) or answer.status != _STATUS_OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=Instances)
    except DECODE_ERRORS:
        return None
