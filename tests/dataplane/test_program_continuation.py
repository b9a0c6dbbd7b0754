"""Programs that loop or stop and come back within the time for which their turns are kept."""

import pytest
from dataplane.peers import MemoryStore, ScriptedReceiver, event, receivers, stream
from dataplane.request_handler_harness import RequestHandlerHarness, read
from scripted.clock import run
from scripted.stores import World

from dewpin.dataplane.programs.errors import BudgetExceededError
from dewpin.dataplane.programs.program_store import Turn

BUDGET, MOST, TOKENS_PER_EVENT = 100, 40, 10


def test_program_keeps_history_and_budget_after_a_restart_of_all_processes():
    """Settled turns count what they used; the one whose sender died under way counts its most."""

    async def scene():
        world = World()
        before = world.client("before")
        for name, previous, used in (("t1", None, 30), ("t2", "t1", 20)):
            held = await before.reserve("p", name, MOST, BUDGET, 1.0)
            await before.store_turn(Turn(name, "p", previous, f"<{name}".encode(), b">", 60.0), 1.0)
            before.settle(held, used)
        await before.wait_until_settled()
        await before.reserve("p", "t3", 10, BUDGET, 1.0)
        world.clock_ms += 59_000
        for machine in world.machines.values():
            machine.restart()
        world.announce_view(world.view)
        for machine in world.machines.values():
            await machine.store.purge_batch()
        after = world.client("after")
        with pytest.raises(BudgetExceededError):
            await after.reserve("p", "t4", 41, BUDGET, 1.0)
        await after.reserve("p", "t4", 40, BUDGET, 1.0)
        with pytest.raises(BudgetExceededError):
            await after.reserve("p", "t5", 1, BUDGET, 1.0)
        return await after.read_history("p", "t2", 1.0)

    assert run(scene()) == b"<t1><t2>"


@pytest.mark.parametrize("whole", [True, False])
def test_looping_program_is_stopped_by_its_budget_at_any_sender(whole):
    """Two senders over the same stores; tokens of answers that broke off count as well. Nothing runs after the 402."""
    store = MemoryStore()
    peers = [ScriptedReceiver(stream(event(1), event(2), is_complete=whole), id=name) for name in ("i-1", "i-2")]
    handed_on, statuses = 0, []
    with receivers(*peers) as listed:
        senders = [RequestHandlerHarness(listed, store, kind="stream", retained=True) for _ in range(2)]
        for number in range(12):
            sender = senders[number % 2]
            sender.calls = number
            answer = sender(("Program", "p"), ("Budget", str(BUDGET)), ("X-Dewpin-Token-Usage", f"5,{MOST}"))
            statuses.append(answer.status)
            body, _ = read(answer)
            handed_on += TOKENS_PER_EVENT * body.count(b"id: ")
    refused = statuses.index(402)
    assert set(statuses[refused:]) == {402}
    assert handed_on <= BUDGET
    assert handed_on + MOST > BUDGET
    assert sum(len(peer.requests) for peer in peers) == refused
