"""What `python3 -m dewpin.standin tier` shows: a first configuration, a request, a program, and losses on demand."""

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from .address_file import write_address_file
from .client import ClientAnswer, ClientRequest, ProgramClient, send
from .sample_configuration import HOST, PLAIN_PATH, STREAM_PATH, sample_configuration
from .tier import LocalTier, Machine
from .waiting import wait_until

BUDGET_TOKENS = 120
MOST_TOKENS_OF_TURN = 40
TURNS = (b"What is in the store room?\n", b"And in the yard?\n", b"Write a list of both.\n")
TURN_BEYOND_BUDGET = b"Thank you.\n"
CONFIGURATION_TIMEOUT_S = 15.0
CHANGED_PATH = "/changed/"
FOREVER = float("inf")
POLL_INTERVAL_S = 0.5


class Loss(Enum):
    """What the demonstration may take away: a control server's process, or a control server's process with its data."""

    CONTROL_SERVER = "control_server"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class TierOptions:
    """How the tier is run: in a folder that stays (None: a temporary one), and for how long after the steps."""

    folder: Path | None = None
    seconds: float = 0.0
    loss: Loss | None = None


class FolderInUse(Exception):
    """The folder named for the tier holds something already."""


class DemonstrationFailed(Exception):
    """A step did not have the effect that the tier promises."""


class Demonstration:
    """The steps; each says what it does and what came of it."""

    def __init__(self, tier: LocalTier, say: Callable[[str], None]) -> None:
        self._tier = tier
        self._say = say
        self._generation = 0
        self._program = ProgramClient(HOST, STREAM_PATH, BUDGET_TOKENS, MOST_TOKENS_OF_TURN)

    def run(self, loss: Loss | None) -> None:
        """Run all steps; raises DemonstrationFailed or WaitFailed."""
        self._announce_processes()
        self._put(PLAIN_PATH)
        self._tier.wait_until_ready()
        self._say("both senders are ready")
        self._show_request(PLAIN_PATH)
        self._show_program()
        if loss is not None:
            self._show_loss(loss)

    def _announce_processes(self) -> None:
        self._say(f"folder: {self._tier.folder}")
        for process in self._tier.processes:
            self._say(f"started {process.name:<10} pid {process.pid}")
        for control_server in self._tier.control_servers:
            self._say(f"operator's API of {control_server.name}: http://{control_server.control}")
        for sender in self._tier.senders:
            self._say(f"clients call {sender.name}: http://{sender.front}")

    def _put(self, plain_path: str) -> None:
        generation = self._generation + 1
        configuration = sample_configuration(generation, plain_path)
        answer = self._tier.operator.put(configuration, self._generation, CONFIGURATION_TIMEOUT_S)
        if answer.status != 200:
            raise DemonstrationFailed(f"configuration {generation}: {answer.status} {answer.body!r}")
        self._generation = generation
        self._say(f"configuration {generation} is acknowledged by {answer.control_server}")

    def _show_request(self, path: str) -> None:
        sender = self._tier.senders[0]
        answer = send(sender.front, ClientRequest(HOST, f"{path}item/7", b"where?"))
        self._say(f"POST {path}item/7 -> {answer.status} {answer.body.decode().strip()}")
        self._check_served(answer)

    def _show_program(self) -> None:
        self._say(
            f"program {self._program.id}: a budget of {BUDGET_TOKENS} tokens, {MOST_TOKENS_OF_TURN} a turn at most"
        )
        for text in TURNS:
            self._check_served(self._turn(text))
        self._say(f"the budget does not hold {MOST_TOKENS_OF_TURN} tokens more: a further turn is refused and not run")
        answer = self._turn(TURN_BEYOND_BUDGET)
        if answer.status != 402:
            raise DemonstrationFailed(f"the turn beyond the budget got {answer.status}")

    def _turn(self, text: bytes) -> ClientAnswer:
        sender = self._tier.senders[0]
        answer = self._program.turn(sender.front, text)
        reply = " | ".join(answer.event_data) if answer.is_served else answer.body.decode().strip()
        self._say(f"turn {text.decode().strip()!r} -> {answer.status} {reply}")
        return answer

    def _check_served(self, answer: ClientAnswer) -> None:
        if not answer.is_served:
            raise DemonstrationFailed(f"not served: {answer.status} {answer.body!r}")

    def _show_loss(self, loss: Loss) -> None:
        first, second = self._tier.control_servers[:2]
        incarnation = self._tier.wait_until_settled().members[first.name]
        first.process.kill()
        self._say(f"killed {first.name}")
        if loss is Loss.STORE:
            self._tier.wipe(first)
            self._tier.restart([first])
            self._say(f"wiped the data of {first.name} and started it again")
            self._tier.wait_until_replaced(first, incarnation)
            self._say(f"{first.name} takes part as another incarnation and holds a copy of the data")
            second.process.kill()
            self._say(f"killed {second.name}")
        self._put(CHANGED_PATH)
        for sender in self._tier.senders:
            self._wait_until_served(sender)
        self._say("the change is in force at both senders")
        self._show_request(CHANGED_PATH)

    def _wait_until_served(self, sender: Machine) -> None:
        request = ClientRequest(HOST, f"{CHANGED_PATH}item/7", b"where?")
        what = f"the change is in force at {sender.name}"
        wait_until(lambda: send(sender.front, request).is_served, CONFIGURATION_TIMEOUT_S, what)


def run_tier(options: TierOptions, say: Callable[[str], None]) -> None:
    """Run the demonstration and end all that was started; raises FolderInUse."""
    if options.folder is None:
        with tempfile.TemporaryDirectory(prefix="dewpin-tier-") as folder:
            _run_in(Path(folder), options, say)
        return
    if options.folder.exists() and any(options.folder.iterdir()):
        raise FolderInUse(f"{options.folder} is not empty")
    _run_in(options.folder, options, say)


def _run_in(folder: Path, options: TierOptions, say: Callable[[str], None]) -> None:
    with LocalTier(folder) as tier:
        try:
            Demonstration(tier, say).run(options.loss)
        except Exception:
            say(tier.logs())
            raise
        if options.seconds > 0:
            say(f"addresses and process ids are in {write_address_file(tier)}")
            _keep_running(options.seconds, say)
        say("ending all processes")


def _keep_running(seconds: float, say: Callable[[str], None]) -> None:
    bound = "until Ctrl-C" if seconds == FOREVER else f"for {seconds:g} s or until Ctrl-C"
    say(f"the tier goes on {bound}")
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        time.sleep(min(POLL_INTERVAL_S, max(0.0, deadline - time.monotonic())))
