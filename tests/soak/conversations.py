"""Clients of a soak: conversations on open connections, each turn through another sender."""

import http.client
import random
import secrets
import threading
import time
from dataclasses import dataclass, field

from dewpin.cluster.rpc import split_address
from dewpin.standin.event_stream import event_count, event_data
from dewpin.standin.protocol import (
    BUDGET,
    PREVIOUS,
    PROGRAM,
    REQUEST_DEADLINE,
    REQUEST_ID,
    SIGNATURE,
    TOKEN_USAGE,
)
from dewpin.standin.sample_configuration import HOST, STREAM_PATH, TOKENS_PER_EVENT

MAX_TOKENS, UNLIMITED_BUDGET = 40, 10_000_000
DEADLINE_MS, SOCKET_TIMEOUT_S = 4_000, 6.0
PAUSE_S = 0.3, 1.5  # between two turns
RETRY_PAUSE_S = 0.2, 0.4
FINAL_TRIES = 6
GAP_IN_HISTORY = b"a link of the chain is gone"


@dataclass
class Observations:
    """What the clients of a run observed. Thread-safe.

    `abandonments`: conversations that began anew, with the failed tries of the turn that was not served in time.
    """

    turns: int = 0
    refused: int = 0
    unanswered: int = 0
    abandonments: list = field(default_factory=list)
    violations: list = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def count(self, name):
        with self.lock:
            setattr(self, name, getattr(self, name) + 1)

    def report_abandonment(self, text):
        with self.lock:
            self.abandonments.append(text)

    def report_violation(self, text):
        with self.lock:
            self.violations.append(text)


class OpenConnections:
    """A connection to each sender, used until it fails."""

    def __init__(self):
        self._connections = {}

    def post(self, address, body, fields):
        """Send a turn and return status, whether a receiver signed the response, and its body."""
        connection = self._connections.get(address)
        if connection is None:
            connection = http.client.HTTPConnection(*split_address(address), timeout=SOCKET_TIMEOUT_S)
            self._connections[address] = connection
        try:
            connection.request("POST", STREAM_PATH, body, {"Host": HOST, **fields})
            response = connection.getresponse()
            return response.status, SIGNATURE.lower() in map(str.lower, response.headers), response.read()
        except (OSError, http.client.HTTPException):
            self.close(address)
            raise

    def close(self, address):
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def close_all(self):
        for address in list(self._connections):
            self.close(address)


class Conversation:
    """One line of turns. The data of an answer depends on the body that the receiver got, so it proves the history."""

    def __init__(self, name, addresses, retain_s, observations, seed):
        self.name, self.addresses, self.retain_s, self.observations = name, addresses, retain_s, observations
        self._rng = random.Random(f"{seed}/{name}")
        self._connections = OpenConnections()
        self._begin()

    def _begin(self):
        self._program = secrets.token_hex(4)
        self._last_turn, self._history, self._answered_s = None, b"", time.monotonic()
        self._number = 0
        self._failures = []

    def run(self, stopped):
        """Take turns until `stopped` is set; begin anew if one was not served while its previous one was retained."""
        while not stopped.is_set():
            time.sleep(self._rng.uniform(*PAUSE_S))
            while not self._try_turn() and not stopped.is_set():
                if self._last_turn is not None and not self._is_retained():
                    self.observations.report_abandonment(f"{self.name}: {' / '.join(self._failures)}")
                    self._begin()
                time.sleep(self._rng.uniform(*RETRY_PAUSE_S))

    def check_goes_on(self):
        """Continue the conversation without disruptions."""
        was_retained = self._is_retained()
        for _ in range(FINAL_TRIES):
            if self._try_turn():
                break
            time.sleep(self._rng.uniform(*RETRY_PAUSE_S))
        else:
            if was_retained:
                self.observations.report_violation(f"LOST {self.name}: {self._last_turn} is not continued at the end")
        self._connections.close_all()

    def _is_retained(self):
        return self._last_turn is not None and time.monotonic() - self._answered_s < self.retain_s

    def _try_turn(self):
        turn, new_input = secrets.token_hex(8), f"{self.name} {self._number}\n".encode()
        usage = f"{len(new_input)},{MAX_TOKENS}"
        fields = {
            REQUEST_ID: turn,
            REQUEST_DEADLINE: str(DEADLINE_MS),
            PROGRAM: self._program,
            BUDGET: str(UNLIMITED_BUDGET),
            TOKEN_USAGE: usage,
        }
        if self._last_turn is not None:
            fields[PREVIOUS] = self._last_turn
        retained_at_start = self._is_retained()
        address = self._rng.choice(self.addresses)
        try:
            status, is_signed, body = self._connections.post(address, new_input, fields)
        except (OSError, http.client.HTTPException) as error:
            self.observations.count("unanswered")
            self._record_failure(address, repr(error))
            return False
        if status == http.HTTPStatus.OK and is_signed:
            self._record_served(turn, new_input, body, usage)
            return True
        self.observations.count("refused")
        self._record_failure(address, f"{status} {body[:60]!r}")
        self._check_refusal(status, body, retained_at_start)
        return False

    def _record_served(self, turn, new_input, body, usage):
        sent_body = self._history + new_input
        expected = event_data(sent_body, event_count(usage, TOKENS_PER_EVENT))
        received = [line[len("data: ") :] for line in body.decode().splitlines() if line.startswith("data: ")]
        if received != expected:
            self.observations.report_violation(f"UNASKED {self.name}: {turn} was answered {received}, not {expected}")
        output = "".join(f"{data}\n" for data in received).encode()
        self._last_turn, self._history, self._answered_s = turn, sent_body + output, time.monotonic()
        self._number += 1
        self._failures = []
        self.observations.count("turns")

    def _record_failure(self, address, what):
        age_s = time.monotonic() - self._answered_s
        self._failures.append(f"{age_s:.1f} s {address} {what}")

    def _check_refusal(self, status, body, was_retained):
        if was_retained and (status in (404, 410) or GAP_IN_HISTORY in body):
            self.observations.report_violation(
                f"LOST {self.name}: {status} {body[:120]!r} for the turn after {self._last_turn}, turn {self._number}"
            )
