"""Calls of the operator's API over HTTP."""

import json
from dataclasses import dataclass

import urllib3

from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration

BASE_VERSION_HEADER = "X-Dewpin-Base-Version"
PUT_PATH = "/dewpin/Config.Put"
GET_PATH = "/dewpin/Config.Get"
MOST_REDIRECTS = 2


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the tier: an HTTP status and the body."""

    status: int
    body: bytes

    def errors(self) -> list[str]:
        """Return the errors that the body names, or the body as it is."""
        try:
            errors = json.loads(self.body)["errors"]
        except (ValueError, KeyError, TypeError):
            return [self.body.decode("utf-8", "replace").strip() or "(an empty answer)"]
        return [str(error) for error in errors]


class NoAnswer(Exception):
    """No answer came: the address does not answer, or the connection broke."""


class OperatorClient:
    """Calls one address of the tier and follows where it points."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(total=timeout_s),
            retries=urllib3.Retry(total=MOST_REDIRECTS, connect=0, read=0, other=0, redirect=MOST_REDIRECTS, status=0),
        )

    def get_configuration(self) -> Answer:
        """Read the newest configuration; raises NoAnswer."""
        return self._call("GET", GET_PATH, None, {})

    def put_configuration(self, body: bytes, base_version: int) -> Answer:
        """Send a configuration that builds on `base_version`; raises NoAnswer."""
        headers = {BASE_VERSION_HEADER: str(base_version), "Content-Type": "application/json"}
        return self._call("POST", PUT_PATH, body, headers)

    def _call(self, method: str, path: str, body: bytes | None, headers: dict[str, str]) -> Answer:
        try:
            response = self._http.request(method, f"http://{self._address}{path}", body=body, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            raise NoAnswer(f"{self._address} gives no answer: {error}") from None
        return Answer(response.status, response.data)


def version_in_force(answer: Answer) -> int:
    """Return the generation that Config.Get tells, 0 where there is none yet; raises NoAnswer if it tells neither."""
    if answer.status == 404:
        return 0
    if answer.status != 200:
        raise NoAnswer(f"the version in force is not told: {'; '.join(answer.errors())}")
    try:
        return parse_configuration(answer.body).generation
    except InvalidConfigurationError as invalid:
        raise NoAnswer(f"the version in force is not readable: {'; '.join(invalid.lines())}") from None
