"""The administration HTTP interface of a daemon."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.errors import ErrorKind, Failure
from fighitch.core.operators import is_signed
from fighitch.core.resources import Resource, parse_resource
from fighitch.core.tickets import SharedKey
from fighitch.daemons.errors import error_response, json_response
from fighitch.observability.metrics import CONTENT_TYPE, Metrics

SIGNATURE_HEADER = "X-Fighitch-Signature"
# A multiple of the maximum size of a value in the object API, so that one request can
# carry several resources.
MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024

_ROUTES = Map(
    [
        Rule("/healthz", endpoint="health", methods=["GET"]),
        Rule("/readyz", endpoint="ready", methods=["GET"]),
        Rule("/metrics", endpoint="render_metrics", methods=["GET"]),
        Rule("/status", endpoint="status", methods=["GET"]),
        Rule("/configuration", endpoint="configuration", methods=["GET"]),
        Rule("/configuration", endpoint="take_configuration", methods=["POST"]),
        Rule("/explain/<request_id>", endpoint="explain", methods=["GET"]),
        Rule("/drain", endpoint="drain", methods=["POST"]),
    ]
)


class AdministeredDaemon(Protocol):
    """The interface of a daemon that the application uses."""

    def is_ready(self) -> bool:
        """Returns whether the daemon can serve."""

    def status(self) -> Any:
        """Returns a snapshot that can be encoded as JSON."""

    def configuration(self) -> Mapping[str, Any]:
        """Returns the revision of the configuration and of each resource."""

    def take_configuration(self, resources: Sequence[Resource]) -> None:
        """Merges resources that an operator uploaded."""

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Returns the audit records of a request."""

    def drain(self) -> None:
        """Starts a drain."""


class AdminApp:
    """WSGI application for operators and the deployment platform."""

    def __init__(
        self,
        daemon: AdministeredDaemon,
        *,
        metrics: Metrics,
        keys: Callable[[], Sequence[SharedKey]],
    ) -> None:
        """Creates the application.

        Args:
            daemon: The entry or sidecar.
            metrics: Metrics of the process.
            keys: Returns the valid shared keys.
        """
        self._daemon = daemon
        self._metrics = metrics
        self._keys = keys

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Handles an HTTP request."""
        request = Request(environ, populate_request=False)
        request.max_content_length = MAX_CONFIGURATION_BYTES
        try:
            endpoint, arguments = _ROUTES.bind_to_environ(environ).match()
            response = getattr(self, f"_{endpoint}")(request, **arguments)
        except HTTPException as error:
            response = error.get_response(environ)
        return response(environ, start_response)

    def _health(self, _request: Request) -> Response:
        return json_response({"status": "alive"})

    def _ready(self, _request: Request) -> Response:
        if self._daemon.is_ready():
            return json_response({"status": "ready"})
        return json_response({"status": "not ready"}, 503)

    def _render_metrics(self, _request: Request) -> Response:
        return Response(self._metrics.render(), content_type=CONTENT_TYPE)

    def _status(self, _request: Request) -> Response:
        return json_response(self._daemon.status())

    def _configuration(self, _request: Request) -> Response:
        return json_response(self._daemon.configuration())

    def _explain(self, _request: Request, request_id: str) -> Response:
        records = self._daemon.explain(request_id)
        return json_response({"records": records}, 200 if records else 404)

    def _drain(self, request: Request) -> Response:
        if not self._is_signed(request):
            return _unsigned_response()
        self._daemon.drain()
        return json_response({"status": "draining"}, 202)

    def _take_configuration(self, request: Request) -> Response:
        if not self._is_signed(request):
            return _unsigned_response()
        try:
            upload = msgspec.json.decode(request.get_data(), type=_ConfigurationUpload)
        except DECODE_ERRORS as error:
            return error_response(Failure(ErrorKind.BAD_REQUEST, str(error)))
        resources = []
        for document in upload.resources:
            parsed = parse_resource(document)
            if parsed.is_error():
                return error_response(parsed.error)
            resources.append(parsed.ok)
        self._daemon.take_configuration(resources)
        return json_response(self._daemon.configuration())

    def _is_signed(self, request: Request) -> bool:
        signature = request.headers.get(SIGNATURE_HEADER, "")
        return is_signed(request.get_data(), signature, self._keys())


class _ConfigurationUpload(msgspec.Struct, frozen=True):
    resources: list[dict[str, Any]]


def _unsigned_response() -> Response:
    detail = f"{SIGNATURE_HEADER} is missing or was not made with a valid shared key"
    return error_response(Failure(ErrorKind.UNAUTHENTICATED, detail))
