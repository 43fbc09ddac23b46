"""Selection of the route and the service of a request."""

import zlib
from collections import defaultdict

from persimmonyoke.internal.fleet.model import Configuration, Route

HASH_RANGE = 1 << 32


class RouteTable:
    """Look up routes by host and longest matching path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in configuration.routes:
            by_host[route.host.lower()][route.path_prefix] = route
        self._by_host = dict(by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; path prefixes start and end with a slash."""
        routes = self._by_host.get(host.lower())
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, stream_id: str) -> str:
    """Return a service by the weights of the route, the same for all attempts."""
    total = sum(service.weight for service in route.services)
    if len(route.services) == 1 or total <= 0:
        return route.services[0].name
    point = zlib.crc32(stream_id.encode()) / HASH_RANGE * total
    for service in route.services:
        point -= service.weight
        if point < 0:
            return service.name
    return route.services[-1].name
