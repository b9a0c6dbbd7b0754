"""A stand-in operator: sends configurations to the control servers and reads them back."""

import http.client
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from dewpin.cluster.rpc import split_address

from .errors import ConditionNotMetError
from .protocol import BASE_VERSION, GET_PATH, PUT_PATH

CALL_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
FIRST_SERVER_ERROR = 500
RETRIED_STATUSES = frozenset({408, 429})

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """The response to a call, and the address of the control server that responded."""

    status: int
    body: bytes
    control_server: str

    @property
    def is_final(self) -> bool:
        """Return whether the response is final, so that the call is not retried."""
        return self.status < FIRST_SERVER_ERROR and self.status not in RETRIED_STATUSES


class OperatorClient:
    """Calls the control servers one after another until one sends a final response."""

    def __init__(self, control_servers: Sequence[str]) -> None:
        self._control_servers = list(control_servers)

    def put(
        self, configuration: JsonObject, base: int, timeout_s: float = 10.0, control_servers: Sequence[str] = ()
    ) -> OperatorResponse:
        """Send a configuration based on version `base`. Raises ConditionNotMetError if there is no final response."""
        body = json.dumps(configuration).encode()
        fields = {BASE_VERSION: str(base), "Content-Type": "application/json"}
        return self._call("POST", PUT_PATH, body, fields, timeout_s, control_servers)

    def get(self, timeout_s: float = 10.0, control_servers: Sequence[str] = ()) -> JsonObject:
        """Return the newest configuration. Raises ConditionNotMetError if it cannot be read."""
        response = self._call("GET", GET_PATH, b"", {}, timeout_s, control_servers)
        if response.status != http.HTTPStatus.OK:
            raise ConditionNotMetError(f"Config.Get: {response.status} {response.body.decode(errors='replace')}")
        configuration: JsonObject = json.loads(response.body)
        return configuration

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        fields: dict[str, str],
        timeout_s: float,
        control_servers: Sequence[str],
    ) -> OperatorResponse:
        deadline = time.monotonic() + timeout_s
        backoff_s = INITIAL_BACKOFF_S
        last_failure = "no control server responded"
        while time.monotonic() < deadline:
            for control_server in control_servers or self._control_servers:
                try:
                    response = call_control_server(control_server, method, path, body, fields)
                except (OSError, http.client.HTTPException) as error:
                    last_failure = f"{control_server}: {error!r}"
                    continue
                if response.is_final:
                    return response
                last_failure = f"{control_server}: {response.status} {response.body.decode(errors='replace')}"
            time.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        raise ConditionNotMetError(f"{path}: no final response within {timeout_s:g} s; last failure: {last_failure}")


def call_control_server(
    control_server: str, method: str, path: str, body: bytes, fields: dict[str, str]
) -> OperatorResponse:
    """Make one call. Raises OSError or HTTPException if there is no response."""
    connection = http.client.HTTPConnection(*split_address(control_server), timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, fields)
        response = connection.getresponse()
        return OperatorResponse(response.status, response.read(), control_server)
    finally:
        connection.close()
