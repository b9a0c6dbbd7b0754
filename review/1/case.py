"""A conversation that goes on for longer than `retain_s` + 30 s, through another zone from turn to turn, is lost."""

import random
import sys
import time
from dataclasses import replace

from case_support import Case, has_trouble, run

from dewpin.standin import tier
from dewpin.standin.client import ClientRequest, ProgramClient
from dewpin.standin.sample_configuration import HOST, STREAM_PATH, sample_configuration

RETAIN_S = 6.0
PAUSE_S = 3.0  # between two turns
SENDERS = 3  # one in each zone
CONVERSATION_S = 68.0
TRIES = 6  # of one turn: it is sent three times, each with one retry
FIRST_TURN_EVERY = 1  # turns
FINISH_S = 200.0  # the program's aim, from its start
BUDGET = 1_000_000
MAX_TOKENS = 20


def play(case: Case) -> bool:
    """Return whether every turn of the conversation reached a receiver in at most TRIES tries."""
    configuration = sample_configuration(1)
    configuration["routes"][1]["retain_s"] = RETAIN_S
    case.start(configuration)
    senders = case.tier.senders
    if has_trouble():
        case.record.write("DISRUPTION: the line of turns comes in through another zone from turn to turn")
    conversation = ProgramClient(HOST, STREAM_PATH + "desk", BUDGET, MAX_TOKENS)
    started_s = time.monotonic()
    answered_at_s = started_s  # when the last turn was answered whole
    first_turns: list[tuple[float, bool]] = []
    number = 0

    def request_of(program: ProgramClient, text: str) -> ClientRequest:
        finish_ms = int((FINISH_S - (time.monotonic() - started_s)) * 1000)
        fields = {"Session": program.id, "Finish-Ms": str(finish_ms)}
        return replace(program.next_request(text.encode(), fields), id=f"{random.getrandbits(64):016x}")

    def first_turn() -> None:
        program = ProgramClient(HOST, STREAM_PATH + "desk", BUDGET, MAX_TOKENS)
        response = case.send("first turn", senders[len(first_turns) % SENDERS], request_of(program, "hello\n"))
        first_turns.append((time.monotonic(), response is not None and response.is_served))

    while time.monotonic() - started_s < CONVERSATION_S:
        number += 1
        if number % FIRST_TURN_EVERY == 0:
            first_turn()
        first_sender = number % SENDERS if has_trouble() else 0
        tried: list[str] = []
        first_try_s = time.monotonic()
        previous_age_s = first_try_s - answered_at_s
        served = False
        for attempt in range(TRIES):
            sender = senders[(first_sender + attempt) % SENDERS]  # retries meet other senders
            request = request_of(conversation, f"turn {number}\n")
            tried.append(request.id or "")
            what = f"turn {number}, try {attempt + 1}, previous {conversation.last_turn_id}, id"
            response = case.send(what, sender, request)
            if response is not None and response.is_served:
                conversation.last_turn_id = response.request_id
                answered_at_s = time.monotonic()
                served = True
                break
            time.sleep(random.uniform(0.2, 0.4))
        if not served:
            for _ in range(5):
                first_turn()
            run_ids = case.requests_run()
            recent = [is_served for at_s, is_served in first_turns if at_s > first_try_s - 5.0]
            case.record.write(
                f"turn {number}: tries {len(tried)}, of them run by a receiver {len(run_ids & set(tried))}; the"
                f" previous turn was answered whole {previous_age_s:.1f} s before (retain_s {RETAIN_S:g}); no"
                f" process was disturbed; first turns served {sum(recent)} of {len(recent)}"
            )
            if not run_ids & set(tried) and previous_age_s < RETAIN_S and sum(recent) >= 0.9 * len(recent):
                return False
        time.sleep(PAUSE_S)
    case.record.write(f"{number} turns of one conversation in {CONVERSATION_S:g} s: each one was served")
    return True


if __name__ == "__main__":
    tier.SENDER_COUNT = SENDERS
    sys.exit(run(__file__, play))
