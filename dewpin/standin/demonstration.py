"""The steps of `python3 -m dewpin.standin tier`: a configuration, a request, a program, and an injected fault."""

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from .address_file import write_address_file
from .client import ClientRequest, ClientResponse, ProgramClient, send
from .errors import DemonstrationError, FolderNotEmptyError
from .machine import Machine
from .polling import wait_until
from .sample_configuration import HOST, PLAIN_PATH, STREAM_PATH, sample_configuration
from .tier import LocalTier

BUDGET_TOKENS = 120
MAX_TOKENS_PER_TURN = 40
TURNS = (b"What is in the store room?\n", b"And in the yard?\n", b"Write a list of both.\n")
TURN_BEYOND_BUDGET = b"Thank you.\n"
CONFIGURATION_TIMEOUT_S = 15.0
CHANGED_PATH = "/changed/"
FOREVER = float("inf")
POLL_INTERVAL_S = 0.5


class InjectedFault(Enum):
    """The faults that the demonstration can inject: kill a control server; kill it and remove its data."""

    CONTROL_SERVER = "control_server"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class TierOptions:
    """How the tier is run.

    folder: folder of its files, which is kept; a temporary folder if it is None.
    seconds: time for which the tier keeps running after the steps.
    fault: the fault to inject, if any.
    """

    folder: Path | None = None
    seconds: float = 0.0
    fault: InjectedFault | None = None


class Demonstration:
    """The steps of the demonstration; each calls `report` with single lines about its actions and results."""

    def __init__(self, tier: LocalTier, report: Callable[[str], None]) -> None:
        self._tier = tier
        self._report = report
        self._generation = 0
        self._program = ProgramClient(HOST, STREAM_PATH, BUDGET_TOKENS, MAX_TOKENS_PER_TURN)

    def run(self, fault: InjectedFault | None) -> None:
        """Run all steps. Raises DemonstrationError or ConditionNotMetError."""
        self._announce_processes()
        self._put_configuration(PLAIN_PATH)
        self._tier.wait_until_ready()
        self._report("both senders are ready")
        self._show_request(PLAIN_PATH)
        self._show_program()
        if fault is not None:
            self._inject_fault(fault)

    def _announce_processes(self) -> None:
        self._report(f"folder: {self._tier.folder}")
        for process in self._tier.processes:
            self._report(f"started {process.name:<10} pid {process.pid}")
        for control_server in self._tier.control_servers:
            self._report(f"operator API of {control_server.name}: http://{control_server.operator_address}")
        for sender in self._tier.senders:
            self._report(f"clients call {sender.name}: http://{sender.client_address}")

    def _put_configuration(self, plain_path: str) -> None:
        generation = self._generation + 1
        configuration = sample_configuration(generation, plain_path)
        response = self._tier.operator.put(configuration, self._generation, CONFIGURATION_TIMEOUT_S)
        if response.status != 200:
            raise DemonstrationError(
                f"configuration {generation} was not accepted: {response.status} {response.body!r}"
            )
        self._generation = generation
        self._report(f"configuration {generation} was acknowledged by {response.control_server}")

    def _show_request(self, path: str) -> None:
        sender = self._tier.senders[0]
        response = send(sender.client_address, ClientRequest(HOST, f"{path}item/7", b"where?"))
        self._report(f"POST {path}item/7 -> {response.status} {response.body.decode().strip()}")
        self._check_served(response)

    def _show_program(self) -> None:
        self._report(
            f"program {self._program.id}: budget of {BUDGET_TOKENS} tokens, at most {MAX_TOKENS_PER_TURN} per turn"
        )
        for text in TURNS:
            self._check_served(self._run_turn(text))
        self._report(
            f"the budget has less than {MAX_TOKENS_PER_TURN} tokens left: another turn is rejected without execution"
        )
        response = self._run_turn(TURN_BEYOND_BUDGET)
        if response.status != 402:
            raise DemonstrationError(f"the turn beyond the budget was answered with {response.status} instead of 402")

    def _run_turn(self, text: bytes) -> ClientResponse:
        sender = self._tier.senders[0]
        response = self._program.run_turn(sender.client_address, text)
        reply = " | ".join(response.event_data) if response.is_served else response.body.decode().strip()
        self._report(f"turn {text.decode().strip()!r} -> {response.status} {reply}")
        return response

    def _check_served(self, response: ClientResponse) -> None:
        if not response.is_served:
            raise DemonstrationError(f"request was not served: {response.status} {response.body!r}")

    def _inject_fault(self, fault: InjectedFault) -> None:
        first, second = self._tier.control_servers[:2]
        incarnation = self._tier.wait_until_settled().members[first.name]
        first.process.kill()
        self._report(f"killed {first.name}")
        if fault is InjectedFault.STORE:
            self._tier.wipe(first)
            self._tier.restart([first])
            self._report(f"removed the data of {first.name} and restarted it")
            self._tier.wait_until_replaced(first, incarnation)
            self._report(f"{first.name} is a member with a new incarnation and has a copy of the data")
            second.process.kill()
            self._report(f"killed {second.name}")
        self._put_configuration(CHANGED_PATH)
        for sender in self._tier.senders:
            self._wait_until_served(sender)
        self._report("the change is in force on both senders")
        self._show_request(CHANGED_PATH)

    def _wait_until_served(self, sender: Machine) -> None:
        request = ClientRequest(HOST, f"{CHANGED_PATH}item/7", b"where?")
        condition = f"the change is in force on {sender.name}"
        wait_until(lambda: send(sender.client_address, request).is_served, CONFIGURATION_TIMEOUT_S, condition)


def run_tier(options: TierOptions, report: Callable[[str], None]) -> None:
    """Run the demonstration and end every process that it started.

    Raises FolderNotEmptyError, DemonstrationError or ConditionNotMetError.
    """
    if options.folder is None:
        with tempfile.TemporaryDirectory(prefix="dewpin-tier-") as folder:
            _run_in(Path(folder), options, report)
        return
    if options.folder.exists() and any(options.folder.iterdir()):
        raise FolderNotEmptyError(f"{options.folder} is not empty")
    _run_in(options.folder, options, report)


def _run_in(folder: Path, options: TierOptions, report: Callable[[str], None]) -> None:
    with LocalTier(folder) as tier:
        try:
            Demonstration(tier, report).run(options.fault)
        except Exception:
            report(tier.logs())
            raise
        if options.seconds > 0:
            report(f"addresses and process ids were written to {write_address_file(tier)}")
            _keep_running(options.seconds, report)
        report("ending all processes")


def _keep_running(seconds: float, report: Callable[[str], None]) -> None:
    duration = "until Ctrl-C" if seconds == FOREVER else f"for {seconds:g} s or until Ctrl-C"
    report(f"the tier keeps running {duration}")
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        time.sleep(min(POLL_INTERVAL_S, max(0.0, deadline - time.monotonic())))
