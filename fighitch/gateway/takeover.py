"""Search for a server that takes a request over from a server that is silent."""

from collections.abc import Callable

from fighitch.core.gateway.backend_choice import next_server
from fighitch.core.gateway.model import BackendServer, Service
from fighitch.gateway.admission import Admission
from fighitch.gateway.relay_host import RelayHost
from fighitch.platform.requests import RequestMetadata


class Takeover:
    """Finds a server that may run a request while another attempt is in progress.

    A silent server may be sound and go on. Its attempt must not end before another
    server has admitted the request, as all others may reject it.
    """

    def __init__(
        self,
        host: RelayHost,
        service: Service,
        metadata: RequestMetadata,
        admission: Admission,
        *,
        avoid: set[str],
        silent: BackendServer | None,
        on_found: Callable[[BackendServer, Admission, bool], None],
        on_none: Callable[[], None],
    ) -> None:
        """Starts nothing yet.

        Args:
            host: The entry.
            service: Service of the request.
            metadata: Metadata of the request.
            admission: Admission of the next attempt; it has requested nothing yet.
            avoid: Instance ids of the servers that must not be chosen.
            silent: Server from which the request is taken over.
            on_found: Called once with the server, its admission, and whether the
                request is late there.
            on_none: Called once if no server takes the request.
        """
        self._host = host
        self._service = service
        self._metadata = metadata
        self._admission = admission
        self._avoid = avoid | ({silent.instance_id} if silent else set())
        self._on_found = on_found
        self._on_none = on_none
        self._is_over = False

    def search(self) -> None:
        """Asks the next server, the best candidate first."""
        if self._is_over:
            return
        is_engine = self._service.engine is not None
        server = self._next_server()
        while server is not None and not is_engine and not self._take_place(server):
            self._avoid.add(server.instance_id)
            server = self._next_server()
        if server is None:
            self._is_over = True
            self._on_none()
        elif not is_engine:
            self._finish(server, late=False)
        else:
            self._admission.request(
                server,
                on_grant=lambda late: self._on_grant(server, late=late),
                on_decline=self.search,
                on_deny=lambda: self._search_without(server),
            )

    def _next_server(self) -> BackendServer | None:
        """Returns the best server that shows that it takes the request, if any does."""
        candidates = self._host.candidates(
            # Only a request that may be repeated is taken over.
            self._service,
            self._metadata,
            self._avoid,
            may_probe=True,
        )
        return next_server(
            [item for item in candidates if self._may_take(item.server)],
            admission_requests=self._admission.requests,
            declined=self._admission.declined,
        )

    def _take_place(self, server: BackendServer) -> bool:
        """Takes a place within the limit of a server; returns whether one was free."""
        return self._host.reserve(server, 0.0) <= 0

    def _may_take(self, server: BackendServer) -> bool:
        if server.instance_id in self._avoid:
            return False
        if self._service.engine is not None:
            # An engine without an agent may be unreachable or silent too.
            return self._host.links.is_connected(server.instance_id)
        return True

    def cancel(self) -> None:
        """Ends the search; a place that was granted meanwhile is given back."""
        if not self._is_over:
            self._is_over = True
            self._admission.end()

    def _on_grant(self, server: BackendServer, *, late: bool) -> None:
        if self._host.is_ready(server):
            self._finish(server, late=late)
            return
        self._admission.end()
        self._search_without(server)

    def _search_without(self, server: BackendServer) -> None:
        self._avoid.add(server.instance_id)
        self.search()

    def _finish(self, server: BackendServer, *, late: bool) -> None:
        if self._is_over:
            self._admission.end()
            return
        self._is_over = True
        self._on_found(server, self._admission, late)
