"""A stand-in platform: serves the list of receivers and probes the readiness of each sender."""

import http.client
import threading
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from dewpin.cluster.rpc import split_address

from .call_rate_limiter import CallRateLimiter
from .errors import UnknownPageTokenError
from .http_server import HttpHandler, HttpServer
from .instances import InstanceList
from .protocol import DRAIN_PATH, INSTANCES_PATH, READY_PATH, SENDERS_PATH
from .sender_health import SenderHealth


class PlatformServer:
    """The platform's HTTP server, and the thread that probes the senders.

    instances, rate: the list of receivers and the rate limiter of list calls, both guarded by `lock`.
    health: results of the readiness probes.
    clock: monotonic time in seconds.
    """

    def __init__(
        self,
        address: tuple[str, int],
        instances: InstanceList,
        health: SenderHealth,
        rate: CallRateLimiter,
        probe_interval_s: float = 1.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.instances = instances
        self.health = health
        self.rate = rate
        self.clock = clock
        self.lock = threading.Lock()
        self._probe_interval_s = probe_interval_s
        self._stopping = threading.Event()
        handler = type("BoundPlatformHandler", (_PlatformHandler,), {"platform": self})
        self.server = HttpServer(address, handler)

    def start(self) -> None:
        """Serve and probe in the background."""
        self.server.start()
        threading.Thread(target=self._probe_senders, daemon=True).start()

    def stop(self) -> None:
        """Stop serving and probing."""
        self._stopping.set()
        self.server.stop()

    def _probe_senders(self) -> None:
        while not self._stopping.wait(self._probe_interval_s):
            for address in self.health.addresses:
                self.health.record(address, is_ready(address, self._probe_interval_s))


def is_ready(address: str, timeout_s: float = 1.0) -> bool:
    """Probe the readiness address of a sender; return whether it responds with 200 within the time-out."""
    connection = http.client.HTTPConnection(*split_address(address), timeout=timeout_s)
    try:
        connection.request("GET", READY_PATH)
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class _PlatformHandler(HttpHandler):
    platform: PlatformServer

    def do_GET(self) -> None:
        if self.url_path == INSTANCES_PATH:
            self._respond_list()
        elif self.url_path == SENDERS_PATH:
            self.respond_json(200, self.platform.health.availability())
        else:
            self.respond(404)

    def do_POST(self) -> None:
        self.read_body()
        if not self.url_path.startswith(DRAIN_PATH + "/"):
            self.respond(404)
            return
        platform, instance_id = self.platform, self.url_path.rpartition("/")[2]
        try:
            with platform.lock:
                platform.instances.drain(instance_id, platform.clock())
        except KeyError:
            self.respond(404)
            return
        self.respond_json(200, {})

    def _respond_list(self) -> None:
        platform, now_s = self.platform, self.platform.clock()
        query = parse_qs(urlsplit(self.path).query)
        try:
            with platform.lock:
                is_permitted = platform.rate.try_acquire(now_s)
                page = platform.instances.page(now_s, _first(query, "page_token"), _first(query, "zone"))
        except UnknownPageTokenError:
            self.respond(400)
            return
        if is_permitted:
            self.respond_json(200, page)
        else:
            self.respond(429)


def _first(query: dict[str, list[str]], name: str) -> str | None:
    return query.get(name, [None])[0]
