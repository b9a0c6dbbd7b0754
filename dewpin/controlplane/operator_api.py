"""The operator API: Config.Put, Config.Patch, Config.Get, Retire.Start, Retire.Get; served by `operator_http`."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass
from typing import TypeVar

from dewpin.cluster.body_messages import patch_digest
from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration, parse_patch
from dewpin.cluster.errors import DewpinError
from dewpin.controlplane.register.change_errors import (
    ChangeForgottenError,
    ChangeRejectedError,
    GenerationTooLowError,
    InvalidPatchError,
    TooFewStoresRemainError,
    UnknownMachineError,
    VersionMismatchError,
)
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import (
    ChangeFunction,
    SystemState,
    configuration_digest,
    is_retired,
    patch_configuration,
    put_configuration,
    start_retirement,
)

Parsed = TypeVar("Parsed")

RESPONSE_TIMEOUT_S = 0.85
MIN_HISTORY_LOOKUP_S = 0.05
"""Minimum time for a lookup in the change history, even if the proposal used up the response time."""
LOOP_MARGIN_S = 0.1
"""Extra time that a request waits beyond the timeout of its work, because the event loop may be busy."""
BASE_VERSION_HEADER = "X-Dewpin-Base-Version"

_STATUS_OF_REJECTION: dict[type[ChangeRejectedError], int] = {
    VersionMismatchError: 412,
    GenerationTooLowError: 400,
    UnknownMachineError: 404,
    TooFewStoresRemainError: 409,
}


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """The response to a request: HTTP status and JSON body."""

    status: int
    body: bytes


def error_response(status: int, *errors: str) -> ApiResponse:
    """Return a response that lists the reasons why a request failed."""
    return ApiResponse(status, json.dumps({"errors": list(errors)}).encode())


class _InvalidRequestError(DewpinError):
    """The request cannot be parsed; `errors` has one line per reason."""

    def __init__(self, *errors: str) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(frozen=True, slots=True)
class _RequestedChange:
    """A requested change of the configuration, identified by generation and digest."""

    generation: int
    digest: str
    change: ChangeFunction


def _parse_base_version(header: str | None) -> int:
    """Return the generation on which a change is based. Raises _InvalidRequestError."""
    try:
        return int(header or "0")
    except ValueError:
        raise _InvalidRequestError(f"{BASE_VERSION_HEADER}: expected a whole number, got {header!r}") from None


def _parse_body(parse: Callable[[bytes], Parsed], body: bytes) -> Parsed:
    """Parse the body of a request. Raises _InvalidRequestError."""
    try:
        body.decode("utf-8")
        return parse(body)
    except InvalidConfigurationError as invalid:
        raise _InvalidRequestError(*invalid.lines()) from invalid
    except UnicodeDecodeError as invalid:
        raise _InvalidRequestError("the body is not UTF-8") from invalid


def _parse_put(body: bytes, base: int) -> _RequestedChange:
    """Return the change that stores a configuration. Raises _InvalidRequestError."""
    generation = _parse_body(parse_configuration, body).generation
    return _RequestedChange(generation, configuration_digest(body, base), put_configuration(body, generation, base))


def _parse_patch(body: bytes, base: int) -> _RequestedChange:
    """Return the change that replaces parts of the configuration. Raises _InvalidRequestError."""
    patch = _parse_body(parse_patch, body)
    digest = patch_digest(body, base)
    return _RequestedChange(patch.generation, digest, patch_configuration(patch, digest, base))


class OperatorApi:
    """Translates operator requests into changes and reads of the register, which runs on the event loop `loop`.

    The methods block and are called from other threads. `min_stores`: number of stores that must remain when a machine
    is retired.
    """

    def __init__(self, register: SystemRegister, loop: asyncio.AbstractEventLoop, min_stores: int) -> None:
        self._register = register
        self._loop = loop
        self._min_stores = min_stores

    def put(self, body: bytes, base_header: str | None) -> ApiResponse:
        """Config.Put: store a configuration."""
        return self._change_configuration(_parse_put, body, base_header)

    def patch(self, body: bytes, base_header: str | None) -> ApiResponse:
        """Config.Patch: change parts of the current configuration."""
        return self._change_configuration(_parse_patch, body, base_header)

    def get(self) -> ApiResponse:
        """Config.Get: return the newest configuration, read from a quorum."""
        state = self._propose(_read)
        if isinstance(state, ApiResponse):
            return state
        configuration = state["configuration"]
        if configuration is None:
            return error_response(404, "no configuration yet")
        return ApiResponse(200, configuration["body"].encode())

    def start_retirement(self, name: str) -> ApiResponse:
        """Retire.Start: start to retire the machine with this name."""
        state = self._propose(start_retirement(name, self._min_stores))
        if isinstance(state, ApiResponse):
            return state
        return ApiResponse(200, b'{"state":"running"}')

    def retirement(self, name: str) -> ApiResponse:
        """Retire.Get: return whether the retirement of the machine with this name has completed."""
        state = self._propose(_read)
        if isinstance(state, ApiResponse):
            return state
        if is_retired(state, name):
            return ApiResponse(200, b'{"state":"done"}')
        if name in state["retiring"]:
            return ApiResponse(200, b'{"state":"running"}')
        return error_response(404, f"{name} is not being retired")

    def _change_configuration(
        self, parse: Callable[[bytes, int], _RequestedChange], body: bytes, base_header: str | None
    ) -> ApiResponse:
        """Make a change. If it is older than all changes listed in the register's value, look it up in the history."""
        try:
            request = parse(body, _parse_base_version(base_header))
        except _InvalidRequestError as invalid:
            return error_response(400, *invalid.errors)
        started_at_s = time.monotonic()
        try:
            state = self._propose(request.change)
            failure = state if isinstance(state, ApiResponse) else None
        except ChangeForgottenError:
            remaining_s = RESPONSE_TIMEOUT_S - (time.monotonic() - started_at_s)
            failure = self._failure_from_history(request, max(remaining_s, MIN_HISTORY_LOOKUP_S))
        return failure or ApiResponse(200, json.dumps({"generation": request.generation}).encode())

    def _failure_from_history(self, request: _RequestedChange, timeout_s: float) -> ApiResponse | None:
        """Return None if the change was accepted, else an error response; 412 only if it certainly was not accepted."""
        generation = request.generation
        future: Future[bool | None] = asyncio.run_coroutine_threadsafe(
            self._register.was_accepted(generation, request.digest, timeout_s), self._loop
        )
        try:
            was_accepted = future.result(timeout_s + LOOP_MARGIN_S)
        except FutureTimeout:
            was_accepted = None
        if was_accepted is None:
            return error_response(503, f"generation {generation} is too old to tell whether it was taken")
        if was_accepted:
            return None
        return error_response(412, f"generation {generation} is not the one that was taken")

    def _propose(self, change: ChangeFunction) -> SystemState | ApiResponse:
        """Propose a change to the register; return the chosen state, or an error response.

        Raises ChangeForgottenError.
        """
        future: Future[SystemState] = asyncio.run_coroutine_threadsafe(
            self._register.propose(change, RESPONSE_TIMEOUT_S), self._loop
        )
        try:
            return future.result(RESPONSE_TIMEOUT_S + LOOP_MARGIN_S)
        except ChangeForgottenError:
            raise
        except InvalidPatchError as invalid:
            return error_response(400, *invalid.errors)
        except ChangeRejectedError as rejection:
            return error_response(_STATUS_OF_REJECTION.get(type(rejection), 503), str(rejection))
        except (RegisterUnavailableError, FutureTimeout) as error:
            return error_response(503, f"no quorum: {error}")


def _read(state: SystemState) -> SystemState:
    """Change function of a read: return the state unchanged."""
    return state
