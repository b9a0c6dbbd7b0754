"""Programs that loop, or that pause and continue within the retention time of their turns."""

import pytest
from dataplane.peers import MemoryStore, ScriptedReceiver, event, receivers, stream
from dataplane.request_handler_harness import RequestHandlerHarness, read
from scripted.clock import run
from scripted.stores import World

from dewpin.dataplane.programs.errors import BudgetExceededError
from dewpin.dataplane.programs.program_store import Turn

BUDGET, MAX_TOKENS, TOKENS_PER_EVENT = 100, 40, 10


def test_program_keeps_history_and_budget_after_a_restart_of_all_processes():
    """Settled turns count with the tokens that they used; a turn whose sender crashed counts with its maximum."""

    async def scenario():
        world = World()
        before = world.client("before")
        for turn_id, previous_id, used_tokens in (("t1", None, 30), ("t2", "t1", 20)):
            reservation = await before.reserve("p", turn_id, MAX_TOKENS, BUDGET, 1.0)
            await before.store_turn(Turn(turn_id, "p", previous_id, f"<{turn_id}".encode(), b">", 60.0), 1.0)
            before.settle(reservation, used_tokens)
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
        return (await after.read_history("p", "t2", 1.0)).content

    assert run(scenario()) == b"<t1><t2>"


@pytest.mark.parametrize("whole", [True, False])
def test_looping_program_is_stopped_by_its_budget_at_any_sender(whole):
    """Two senders use the same stores. Tokens of incomplete responses count as well, and nothing is executed after the
    first 402."""
    store = MemoryStore()
    peers = [ScriptedReceiver(stream(event(1), event(2), is_complete=whole), id=name) for name in ("i-1", "i-2")]
    forwarded_tokens, statuses = 0, []
    with receivers(*peers) as served:
        senders = [RequestHandlerHarness(served, store, kind="stream", retained=True) for _ in range(2)]
        for number in range(12):
            sender = senders[number % 2]
            sender.calls = number
            response = sender(("Program", "p"), ("Budget", str(BUDGET)), ("X-Dewpin-Token-Usage", f"5,{MAX_TOKENS}"))
            statuses.append(response.status)
            body, _ = read(response)
            forwarded_tokens += TOKENS_PER_EVENT * body.count(b"id: ")
    first_rejected = statuses.index(402)
    assert set(statuses[first_rejected:]) == {402}
    assert forwarded_tokens <= BUDGET
    assert forwarded_tokens + MAX_TOKENS > BUDGET
    assert sum(len(peer.requests) for peer in peers) == first_rejected
