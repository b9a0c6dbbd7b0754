"""The servers that the operator, the platform and clients call."""

import asyncio
import json
import random
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from golden.tier_api.control_machine import (
    LOCATIONS,
    MEMBER,
    STORE_NAMES,
    STORES,
    TIMEOUT_S,
    ControlMachine,
    configuration_body,
)
from golden.tier_api.json_types import Json

from dewpin.cluster.configuration import parse_configuration
from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.receivers import Receiver
from dewpin.controlplane.operator_api import OperatorApi
from dewpin.controlplane.operator_http import serve_operator
from dewpin.controlplane.register.system_state import (
    finish_retirement,
    initial_state,
    put_configuration,
    set_initial_stores,
)
from dewpin.dataplane.http11.messages import error_response
from dewpin.dataplane.http11.response_format import format_chunk, format_response
from dewpin.dataplane.ingress.readiness import ReadinessServer
from dewpin.dataplane.ingress.server import IngressServer
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.routing.request_handler import RequestHandler

Address = tuple[str, int]
LOOPBACK = ("127.0.0.1", 0)


class Operator:
    """The operator API of a control server whose register has one member; runs on its own event loop."""

    def __init__(self, folder: Path) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._machine = self._await(self._begin(folder))
        register = self._machine.server.register
        self._server = serve_operator(LOOPBACK, OperatorApi(register, self._loop, 3))
        host, port = self._server.socket.getsockname()
        self.address: Address = (str(host), int(port))

    async def _begin(self, folder: Path) -> ControlMachine:
        machine = ControlMachine(folder)
        await machine.server.load()
        await machine.server.register.bootstrap(initial_state({MEMBER: "10.0.0.1:8144"}, {MEMBER: "control-1"}))
        await machine.server.register.propose(set_initial_stores(STORES, STORE_NAMES, LOCATIONS), TIMEOUT_S)
        return machine

    def finish_retirement(self, name: str) -> None:
        """Finish the retirement of a machine."""
        self._await(self._machine.server.register.propose(finish_retirement(name), TIMEOUT_S))

    def accept_changes(self, count: int) -> None:
        """Make this number of configuration changes, in order."""

        async def accept() -> None:
            register = self._machine.server.register
            base = register.newest["configuration"]["generation"]
            for generation in range(base + 1, base + 1 + count):
                change = put_configuration(configuration_body(generation), generation, generation - 1)
                await register.propose(change, TIMEOUT_S)

        self._await(accept())

    def lose_majority(self) -> None:
        """Add a second register member that does not answer."""
        register = self._machine.server.register
        members = {MEMBER: "10.0.0.1:8144", "m2": "10.0.0.2:8144"}
        state = {**register.newest, "version": register.newest["version"] + 1, "members": members}
        register_value = {"to": MEMBER, "ballot": [1000, "m2"], "value": state, "source": ""}
        self._await(self._machine.call_handler("register.accept", **register_value))

    def close(self) -> None:
        """Stop the server and its loop."""
        self._server.shutdown()
        self._server.server_close()
        self._await(self._machine.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _await(self, awaitable: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(awaitable, self._loop).result(TIMEOUT_S)


@contextmanager
def ready_server(is_ready: bool) -> Iterator[Address]:
    """Run the server for the platform's readiness requests; yield its address."""
    server = ReadinessServer(lambda: is_ready)
    server.start(LOOPBACK)
    try:
        yield server.address
    finally:
        server.stop()


STORE_FAULTS = {"budget": BudgetExceededError, "turn": TurnNotFoundError, "store": StoreUnavailableError}


class _FailingStoreClient:
    """A store client whose operations all raise the same error."""

    def __init__(self, store_fault: str) -> None:
        self._fault = store_fault

    def __getattr__(self, name: str) -> Callable[..., Any]:
        def fail(*arguments: Any) -> Any:
            raise STORE_FAULTS[self._fault]("as scripted")

        return fail


@contextmanager
def sender(configuration: Json | None, receivers: list[str], store_fault: str = "store") -> Iterator[Address]:
    """Run a sender's ingress with receivers at these addresses; yield its address. Only pauses advance its clock."""
    parsed = None if configuration is None else parse_configuration(json.dumps(configuration).encode())
    receiver_list = tuple(
        Receiver(f"i-{number}", "engines", address, "here", 4, False, 0.0, "v1")
        for number, address in enumerate(receivers, 1)
    )
    state = ClusterState(parsed, {"engines": receiver_list} if receiver_list else {})
    pauses: list[float] = []

    def clock() -> float:
        return 1000.0 + sum(pauses)

    path = RequestHandler(state, _FailingStoreClient(store_fault), "here", clock, pauses.append, random.Random(5))
    ingress = IngressServer(state, path.handle, clock, accept_poll_s=0.01)
    ingress.start(LOOPBACK)
    try:
        yield ingress.address
    finally:
        ingress.stop(0.0)
        path.close()


def own_answers() -> Json:
    """Return the bytes of a sender's responses to each kind of error.

    These are: a plain one; one with detail and Retry-After on a connection that closes; the one to a HEAD request.
    """
    return {
        str(kind): [
            _rendered(error_response(kind), False, False),
            _rendered(error_response(kind, "what is wrong", 0.25), True, False),
            _rendered(error_response(kind), False, True),
        ]
        for kind in ErrorKind
    }


def _rendered(reply: Any, closes_connection: bool, is_head_request: bool) -> str:
    return format_response(reply, reply.body, closes_connection, is_head_request).decode("latin-1")


def rendered_chunk(part: bytes) -> bytes:
    """Return one chunk of a body to a client."""
    return format_chunk(part)
