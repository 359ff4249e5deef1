"""Selects a route by host and longest path prefix, and a service by weight."""

from collections.abc import Iterable

import xxhash

from fighitch.core.gateway.model import Route


class RouteTable:
    """Finds the route of a request at a cost independent of the number of routes."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
            host: Value of the ``Host`` header, with or without a port.
            path: Path of the request without the query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def choose_service(route: Route, key: str) -> str:
    """Selects the service of a request by the weights of its route.

    Args:
        route: Route of the request.
        key: Request id; the same id always maps to the same service.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(item.weight for item in route.services)
    point = xxhash.xxh3_64_intdigest(key.encode()) / 2**64 * total
    for item in route.services:
        point -= item.weight
        if point < 0:
            return item.service
    return route.services[-1].service
