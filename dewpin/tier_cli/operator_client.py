"""An HTTP client of the operator API."""

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
    """A response of the operator API: HTTP status and body."""

    status: int
    body: bytes

    def errors(self) -> list[str]:
        """Return the errors listed in the body, or the whole body if it does not list any."""
        try:
            errors = json.loads(self.body)["errors"]
        except (ValueError, KeyError, TypeError):
            return [self.body.decode("utf-8", "replace").strip() or "(empty response)"]
        return [str(error) for error in errors]


class NoResponseError(DewpinError):
    """There was no usable response: the server is unreachable, the connection was lost, or the response is invalid."""


class OperatorClient:
    """Sends requests to a control server, following its redirects."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(total=timeout_s),
            retries=urllib3.Retry(total=MAX_REDIRECTS, connect=0, read=0, other=0, redirect=MAX_REDIRECTS, status=0),
        )

    def get_configuration(self) -> OperatorResponse:
        """Request the current configuration. Raises NoResponseError."""
        return self._call("GET", GET_PATH, None, {})

    def put_configuration(self, body: bytes, base_version: int) -> OperatorResponse:
        """Submit a configuration that replaces version `base_version`. Raises NoResponseError."""
        headers = {BASE_VERSION_HEADER: str(base_version), "Content-Type": "application/json"}
        return self._call("POST", PUT_PATH, body, headers)

    def _call(self, method: str, path: str, body: bytes | None, headers: dict[str, str]) -> OperatorResponse:
        try:
            response = self._http.request(method, f"http://{self._address}{path}", body=body, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            raise NoResponseError(f"no response from {self._address}: {error}") from error
        return OperatorResponse(response.status, response.data)


def current_version(response: OperatorResponse) -> int:
    """Return the generation in a response to Config.Get, or 0 if there is no configuration yet.

    Raises NoResponseError if the response contains neither.
    """
    if response.status == HTTPStatus.NOT_FOUND:
        return 0
    if response.status != HTTPStatus.OK:
        raise NoResponseError(f"cannot determine the current version: {'; '.join(response.errors())}")
    try:
        return parse_configuration(response.body).generation
    except InvalidConfigurationError as invalid:
        raise NoResponseError(f"cannot read the current version: {'; '.join(invalid.lines())}") from invalid
