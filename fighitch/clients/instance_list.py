"""Client of the platform's list of live and stopping instances."""

import msgspec

from fighitch.clients.http_client import HttpClient
from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.http_calls import HttpCall, HttpResponse

_STATUS_OK = 200


class Instances(msgspec.Struct, frozen=True):
    """The platform's list of instances, which may be out of date.

    Attributes:
        live: Names of live instances.
        leaving: Names of instances that are about to stop.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


def list_instances(client: HttpClient) -> Instances | None:
    """Fetches the list; returns None without a valid response."""
    response = client.call(HttpCall("GET", "/instances"))
    if not isinstance(response, HttpResponse) or response.status != _STATUS_OK:
        return None
    try:
        return msgspec.json.decode(response.body, type=Instances)
    except DECODE_ERRORS:
        return None
