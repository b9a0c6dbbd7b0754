"""A stand-in platform: lists receivers to the tier and asks each sender whether it is ready."""

import http.client
import threading
import time
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs, urlsplit

from dewpin.cluster.rpc import split_address

from .http_service import HttpHandler, HttpServer
from .instances import CallRate, InstanceList, UnknownPage
from .protocol import DRAIN_PATH, INSTANCES_PATH, READY_PATH, SENDERS_PATH

MISSES_ALLOWED = 1
"""A sender that misses more often than this in a row gets no new connections until it answers 200 again."""


class SenderHealth:
    """Which senders get new connections, from the answers to the calls for readiness. Free of I/O."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self._misses = dict.fromkeys(addresses, MISSES_ALLOWED + 1)

    @property
    def addresses(self) -> list[str]:
        """Return the addresses to ask."""
        return list(self._misses)

    def record(self, address: str, ready: bool) -> None:
        """Take in an answer, or that there was none in time."""
        self._misses[address] = 0 if ready else self._misses[address] + 1

    def in_use(self) -> dict[str, bool]:
        """Return for each sender whether it gets new connections."""
        return {address: misses <= MISSES_ALLOWED for address, misses in self._misses.items()}


class Platform:
    """The platform's server and the thread that asks the senders."""

    def __init__(
        self,
        address: tuple[str, int],
        instances: InstanceList,
        health: SenderHealth,
        rate: CallRate,
        ask_every_s: float = 1.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.instances = instances
        self.health = health
        self.rate = rate
        self.clock = clock
        self.lock = threading.Lock()
        self._ask_every_s = ask_every_s
        self._stopping = threading.Event()
        handler = type("BoundPlatformHandler", (_PlatformHandler,), {"platform": self})
        self.server = HttpServer(address, handler)

    def start(self) -> None:
        """Serve and ask in the background."""
        self.server.start()
        threading.Thread(target=self._poll_readiness, daemon=True).start()

    def stop(self) -> None:
        """Stop serving and asking."""
        self._stopping.set()
        self.server.stop()

    def _poll_readiness(self) -> None:
        while not self._stopping.wait(self._ask_every_s):
            for address in self.health.addresses:
                self.health.record(address, is_ready(address, self._ask_every_s))


def is_ready(address: str, timeout_s: float = 1.0) -> bool:
    """Ask the sender at its `ready` address; anything but 200 in time is a no."""
    connection = http.client.HTTPConnection(*split_address(address), timeout=timeout_s)
    try:
        connection.request("GET", READY_PATH)
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class _PlatformHandler(HttpHandler):
    platform: Platform

    def do_GET(self) -> None:
        if self.url_path == INSTANCES_PATH:
            self._list()
        elif self.url_path == SENDERS_PATH:
            self.reply_json(200, self.platform.health.in_use())
        else:
            self.reply(404)

    def do_POST(self) -> None:
        self.read_body()
        if not self.url_path.startswith(DRAIN_PATH + "/"):
            self.reply(404)
            return
        platform, instance_id = self.platform, self.url_path.rpartition("/")[2]
        try:
            with platform.lock:
                platform.instances.drain(instance_id, platform.clock())
        except KeyError:
            self.reply(404)
            return
        self.reply_json(200, {})

    def _list(self) -> None:
        platform, now_s = self.platform, self.platform.clock()
        query = parse_qs(urlsplit(self.path).query)
        try:
            with platform.lock:
                granted = platform.rate.grant(now_s)
                page = platform.instances.page(now_s, _first(query, "page_token"), _first(query, "zone"))
        except UnknownPage:
            self.reply(400)
            return
        if granted:
            self.reply_json(200, page)
        else:
            self.reply(429)


def _first(query: dict[str, list[str]], name: str) -> str | None:
    return query.get(name, [None])[0]
