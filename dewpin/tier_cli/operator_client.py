"""A client of the operator's API over HTTP."""

import json
from dataclasses import dataclass
from http import HTTPStatus

import urllib3

from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration
from dewpin.cluster.errors import DewpinError

BASE_VERSION_HEADER = "X-Dewpin-Base-Version"
PUT_PATH = "/dewpin/Config.Put"
GET_PATH = "/dewpin/Config.Get"
MAX_REDIRECTS = 2


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """A response of the operator's API: HTTP status and body."""

    status: int
    body: bytes

    def errors(self) -> list[str]:
        """Return the errors in the body, or the whole body if it has no list of errors."""
        try:
            errors = json.loads(self.body)["errors"]
        except (ValueError, KeyError, TypeError):
            return [self.body.decode("utf-8", "replace").strip() or "(an empty answer)"]
        return [str(error) for error in errors]


class NoResponseError(DewpinError):
    """There was no usable response: the server is unreachable, the connection was lost, or the response is unclear."""


class OperatorClient:
    """Calls one control server, and those to which it redirects."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(total=timeout_s),
            retries=urllib3.Retry(total=MAX_REDIRECTS, connect=0, read=0, other=0, redirect=MAX_REDIRECTS, status=0),
        )

    def get_configuration(self) -> OperatorResponse:
        """Read the newest configuration; raises NoResponseError."""
        return self._call("GET", GET_PATH, None, {})

    def put_configuration(self, body: bytes, base_version: int) -> OperatorResponse:
        """Send a configuration that is based on `base_version`; raises NoResponseError."""
        headers = {BASE_VERSION_HEADER: str(base_version), "Content-Type": "application/json"}
        return self._call("POST", PUT_PATH, body, headers)

    def _call(self, method: str, path: str, body: bytes | None, headers: dict[str, str]) -> OperatorResponse:
        try:
            response = self._http.request(method, f"http://{self._address}{path}", body=body, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            raise NoResponseError(f"{self._address} gives no answer: {error}") from error
        return OperatorResponse(response.status, response.data)


def version_in_force(response: OperatorResponse) -> int:
    """Return the generation in a response of Config.Get, 0 if there is no configuration yet.

    Raises NoResponseError if the response says neither.
    """
    if response.status == HTTPStatus.NOT_FOUND:
        return 0
    if response.status != HTTPStatus.OK:
        raise NoResponseError(f"the version in force is not told: {'; '.join(response.errors())}")
    try:
        return parse_configuration(response.body).generation
    except InvalidConfigurationError as invalid:
        raise NoResponseError(f"the version in force is not readable: {'; '.join(invalid.lines())}") from invalid
