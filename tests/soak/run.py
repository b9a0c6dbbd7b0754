"""One run of a soak: conversations longer than their retention while processes are disrupted, and checks at its end."""

import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from dewpin.standin.errors import ConditionNotMetError
from dewpin.standin.tier import LocalTier

from .conversations import Conversation, Observations
from .disruptions import SETTLED_TIMEOUT_S, Disruptions, configuration_with_retention
from .own_ends import OwnEnds

RETAIN_S = 12.0
FIRST_PUT_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 60.0
JOIN_TIMEOUT_S = 60.0


@dataclass
class Result:
    """The result of a run: rule violations, what was observed, and why conversations were abandoned."""

    seed: int
    violations: list = field(default_factory=list)
    observations: dict = field(default_factory=dict)
    abandonments: list = field(default_factory=list)


def run(seed, duration_s, senders=3, conversations=4):
    """Run a tier for `duration_s`. Disruptions and pauses depend on the seed; the processes' timing does not."""
    result = Result(seed)
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        try:
            with LocalTier(Path(folder), sender_count=senders) as tier:
                _play(tier, result, duration_s, conversations)
                if result.violations:
                    print(tier.logs(), flush=True)
        except ConditionNotMetError as error:
            result.violations.append(f"RUN {error}")
    return result


def _play(tier, result, duration_s, conversation_count):
    configuration_of = configuration_with_retention(RETAIN_S)
    assert tier.operator.put(configuration_of(1), 0, FIRST_PUT_TIMEOUT_S).status == 200
    tier.wait_until_ready(READY_TIMEOUT_S)
    tier.wait_until_settled(SETTLED_TIMEOUT_S)
    addresses = [sender.client_address for sender in tier.senders]
    observations = Observations()
    conversations = [
        Conversation(f"conversation-{number}", addresses, RETAIN_S, observations, result.seed)
        for number in range(conversation_count)
    ]
    own_ends = OwnEnds(tier)
    disruptions = Disruptions(tier, configuration_of, result.seed, own_ends)
    disruptions_end, conversations_end, watch_end = threading.Event(), threading.Event(), threading.Event()
    disrupting = [threading.Thread(target=one, args=(disruptions_end,)) for one in disruptions.series()]
    watching = [threading.Thread(target=own_ends.run, args=(watch_end,))]
    talking = [threading.Thread(target=one.run, args=(conversations_end,)) for one in conversations]
    for thread in (*watching, *disrupting, *talking):
        thread.start()
    time.sleep(duration_s)
    _end(disrupting, disruptions_end, result)
    tier.wait_until_settled(SETTLED_TIMEOUT_S)
    tier.wait_until_ready(READY_TIMEOUT_S)
    _end(talking, conversations_end, result)
    for conversation in conversations:
        conversation.check_goes_on()
    _end(watching, watch_end, result)
    ended = [process.name for process in tier.processes if not process.is_running]
    if ended:
        result.violations.append(f"FAULT: ended by themselves: {ended}")
    result.violations += own_ends.violations + observations.violations + disruptions.violations
    result.abandonments = observations.abandonments
    counters = {name: getattr(observations, name) for name in ("turns", "refused", "unanswered")}
    result.observations = {**counters, "abandoned": len(result.abandonments), **disruptions.counts}


def _end(threads, event, result):
    event.set()
    for thread in threads:
        thread.join(JOIN_TIMEOUT_S)
        if thread.is_alive():
            result.violations.append(f"RUN a thread did not end within {JOIN_TIMEOUT_S:g} s")
