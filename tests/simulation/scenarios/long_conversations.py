"""Point 3: conversations that last longer than the retention of their turns, while stores are lost one after the other.

Each turn goes through another front, and a sub-agent now and then continues another program's conversation.
"""

import asyncio

from ..conversations import Conversations, check_ended_conversations_are_deleted
from .second_loss import LOSSES

WORLD = {"stores": 3, "fronts": 3}
RETAIN_S = 12.0
CONVERSATIONS = 4
ROUNDS = 4
BEFORE_FIRST_LOSS_S = 20.0, 60.0
EDGE_S = 0.3


async def run_scenario(context):
    world, rng = context.world, context.rng
    context.clients.retain_s = RETAIN_S
    conversations = Conversations(context, CONVERSATIONS)
    branching = asyncio.ensure_future(conversations.branch_forever())
    await context.wait(*BEFORE_FIRST_LOSS_S)
    for _ in range(ROUNDS):
        loss = rng.choice((*LOSSES, _kill, _kill_front))
        victim = rng.choice(world.fronts() if loss is _kill_front else world.stores())
        world.record_event(loss.__name__, victim)
        await loss(context, victim)
        catch_up_s = world.bounds["catch_up_s"]
        await context.wait(catch_up_s, catch_up_s + rng.choice((EDGE_S, RETAIN_S)))
        await conversations.check_histories_on_disk()
    world.heal()
    await asyncio.sleep(world.bounds["contact_ms"] / 1000 + EDGE_S)
    branching.cancel()
    await conversations.stop()
    await conversations.check_all_go_on()
    await check_ended_conversations_are_deleted(context)


async def _kill(context, victim):
    downtime_s = context.rng.uniform(0.2, 20)
    context.world.kill(victim, downtime_s)
    await asyncio.sleep(downtime_s)


async def _kill_front(context, victim):
    context.world.kill(victim, context.rng.uniform(0.2, 1))
