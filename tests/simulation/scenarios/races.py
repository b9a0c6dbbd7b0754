"""Point 2: two proposers and a member restarted between promise and accept, a minority's value, a wiped member."""

import asyncio

WORLD = {"stores": 3, "fronts": 2}
ROUNDS = 4
MAX_RETRY_S = 1.2
"""A wiped member and a frozen one are two losses: the latter is back before the machines count as in contact (3 s)."""


async def run_scenario(context):
    for _ in range(ROUNDS):
        await context.rng.choice((_restart_between_promise_and_accept, _value_of_a_minority, _wiped_member_returns))(
            context
        )
        context.world.heal()
        await context.wait(context.world.bounds["catch_up_s"], context.world.bounds["catch_up_s"] + 1)


def _cut_both_ways(context, hosts, others):
    hosts, others = [host.ip for host in hosts], [host.ip for host in others]
    return context.world.cut_links(hosts, others) + context.world.cut_links(others, hosts)


async def _rival_changes(context):
    """Two changes on one base, with one generation or two."""
    base = await context.operators.current()
    change = context.operators.new_change(base)
    return change, context.operators.new_change(base, context.rng.choice((None, change.generation)))


async def _restart_between_promise_and_accept(context):
    """Two proposers do not reach each other. One sends the third member several ballots, none of which it can write
    itself while its disk is full; then its disk is slow. Meanwhile the third restarts, and the other proposes."""
    world, operators, rng = context.world, context.operators, context.rng
    change, rival = await _rival_changes(context)
    slow, quick, member = rng.sample(world.stores(), 3)
    _cut_both_ways(context, [slow], [quick])
    world.oracle.set_slow(slow.ip, True)
    slow.disk.full = True
    race = asyncio.ensure_future(operators.put(change, first_host=slow, retry_for_s=3.0))
    await context.wait(0.6, 2.4)
    slow.disk.full, slow.disk.slow_s = False, rng.uniform(0.3, 1.8)
    await context.wait(0, 0.6)
    cut_replies = world.cut_links([member.ip], [slow.ip])
    world.kill(member, rng.uniform(0.01, 0.1))
    await context.wait(0.1, 0.2)
    rival_put = asyncio.ensure_future(operators.put(rival, first_host=quick, retry_for_s=1.0))
    await context.wait(0.02, 0.3)
    world.restore_links(cut_replies)
    await asyncio.gather(race, rival_put)
    slow.disk.slow_s = 0.0
    world.oracle.set_slow(slow.ip, False)


async def _value_of_a_minority(context):
    """A proposer is killed when its own disk alone has its value. A second process reads it there, replies, and is
    killed; it or the third then gets another change while the first is isolated."""
    world, operators, rng = context.world, context.operators, context.rng
    change, rival = await _rival_changes(context)
    proposer, reader, other = rng.sample(world.stores(), 3)
    first_try = context.start(operators.put(change, first_host=proposer, retry_for_s=0.1))
    await context.wait(0.003, 0.01)
    cut_requests = world.cut_links([proposer.ip], [reader.ip, other.ip])
    await context.wait(0.001, 0.01)
    first_try.cancel()
    world.kill(proposer, rng.uniform(0.02, 0.1))
    await asyncio.sleep(0.15)
    separated = _cut_both_ways(context, [other], [reader, proposer])
    world.restore_links([pair for pair in cut_requests if other.ip not in pair])
    await operators.put(change, first_host=reader, retry_for_s=0.1)
    world.kill(reader, rng.uniform(0.02, 0.1))
    _cut_both_ways(context, [proposer], [reader, other])
    world.restore_links([pair for pair in separated if proposer.ip not in pair])
    await operators.put(rival, first_host=rng.choice((reader, other)), retry_for_s=2.0)


async def _wiped_member_returns(context):
    """A change is chosen by two of three; one of these loses its disk and returns while the other one is frozen."""
    world, operators, rng = context.world, context.operators, context.rng
    change, rival = await _rival_changes(context)
    proposer, member, missed = rng.sample(world.stores(), 3)
    _cut_both_ways(context, [missed], [proposer, member])
    await operators.put(change, first_host=proposer, retry_for_s=rng.choice((0.1, 1.0)))
    world.freeze(proposer)
    world.wipe(member, rng.uniform(0.05, 0.3))
    await asyncio.sleep(0.35)
    await operators.put(rival, first_host=missed, retry_for_s=rng.uniform(0.3, MAX_RETRY_S))
