"""A stand-in operator: sends configurations to the keepers and reads them back."""

import http.client
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .http_service import split_address
from .protocol import BASE_VERSION, GET_PATH, PUT_PATH
from .waiting import NeverHappened

CALL_TIMEOUT_S = 2.0
FIRST_PAUSE_S = 0.05
MOST_PAUSE_S = 0.4
FIRST_UNCLEAR_STATUS = 500
UNCLEAR_STATUSES = frozenset({408, 429})

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The answer to a call, and the keeper that gave it."""

    status: int
    body: bytes
    keeper: str

    @property
    def is_clear(self) -> bool:
        """Tell whether the call need not be made again."""
        return self.status < FIRST_UNCLEAR_STATUS and self.status not in UNCLEAR_STATUSES


class Operator:
    """Calls the keepers in turn until one gives a clear answer."""

    def __init__(self, keepers: Sequence[str]) -> None:
        self._keepers = list(keepers)

    def put(
        self, configuration: JsonObject, base: int, timeout_s: float = 10.0, keepers: Sequence[str] = ()
    ) -> OperatorAnswer:
        """Send a configuration that builds on version `base`; raises NeverHappened without a clear answer."""
        body = json.dumps(configuration).encode()
        fields = {BASE_VERSION: str(base), "Content-Type": "application/json"}
        return self._call("POST", PUT_PATH, body, fields, timeout_s, keepers)

    def get(self, timeout_s: float = 10.0, keepers: Sequence[str] = ()) -> JsonObject:
        """Return the newest configuration; raises NeverHappened if none comes."""
        answer = self._call("GET", GET_PATH, b"", {}, timeout_s, keepers)
        if answer.status != http.HTTPStatus.OK:
            raise NeverHappened(f"Config.Get: {answer.status} {answer.body.decode(errors='replace')}")
        configuration: JsonObject = json.loads(answer.body)
        return configuration

    def _call(
        self, method: str, path: str, body: bytes, fields: dict[str, str], timeout_s: float, keepers: Sequence[str]
    ) -> OperatorAnswer:
        ends_at = time.monotonic() + timeout_s
        pause_s = FIRST_PAUSE_S
        last = "no keeper answered"
        while time.monotonic() < ends_at:
            for keeper in keepers or self._keepers:
                try:
                    answer = call_keeper(keeper, method, path, body, fields)
                except (OSError, http.client.HTTPException) as fault:
                    last = f"{keeper}: {fault!r}"
                    continue
                if answer.is_clear:
                    return answer
                last = f"{keeper}: {answer.status} {answer.body.decode(errors='replace')}"
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, MOST_PAUSE_S)
        raise NeverHappened(f"{path}: no clear answer within {timeout_s:g} s; last: {last}")


def call_keeper(keeper: str, method: str, path: str, body: bytes, fields: dict[str, str]) -> OperatorAnswer:
    """Make one call; raises OSError or HTTPException if no answer comes."""
    connection = http.client.HTTPConnection(*split_address(keeper), timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, fields)
        response = connection.getresponse()
        return OperatorAnswer(response.status, response.read(), keeper)
    finally:
        connection.close()
