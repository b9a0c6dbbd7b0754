"""Checks of recovery after faults: changes are accepted, fronts are ready, acknowledged data can be read."""

from .oracle import ACKNOWLEDGED

MAX_CHANGE_S = 30.0
READ_WITHIN_S = 2.0
PROGRAMS_PER_FRONT = 6
ATTEMPTS_PER_TURN = 4


async def check_change_latency(context):
    """Check that a change without faults is acknowledged within `ack_ms`."""
    world, operators = context.world, context.operators
    began_s = world.loop.now
    while True:
        change = operators.new_change(await operators.current())
        status = await operators.put(change, retry_for_s=10.0)
        took_s = world.loop.now - began_s
        if status == ACKNOWLEDGED or took_s > MAX_CHANGE_S:
            break
    world.oracle.statistics["last_order_s"] = took_s
    if took_s > world.bounds["ack_ms"] / 1000:
        world.oracle.report_violation("ACKS", f"a change without faults took {took_s:.3f} s")


async def check_recovered_state(context):
    """Check the configuration at every control server, readiness of every front, and all histories from the stores."""
    world, oracle = context.world, context.world.oracle
    for host in world.stores():
        oracle.check_read_back(*await context.operators.read(host))
    for front in world.fronts():
        if not front.is_ready:
            oracle.report_violation("RECOVER", f"{front.name} is not ready after the faults ended")
    await context.clients.read_everything(context.rng.choice(world.fronts()), world.loop.now + READ_WITHIN_S)


async def check_turns_accepted(context):
    """Check that new programs can run turns at every front; several programs, as each is placed on other stores."""
    for front in context.world.fronts():
        for _ in range(PROGRAMS_PER_FRONT):
            program = context.clients.add_program(max_tokens=40, turns_in_budget=10)
            outcomes = []
            while len(outcomes) < ATTEMPTS_PER_TURN and "done" not in outcomes:
                _, status = await context.clients.take_turn(front, program)
                outcomes.append(status)
            if "done" not in outcomes:
                context.world.oracle.report_violation(
                    "RECOVER", f"{front.name} accepts no turn of {program.name}: {outcomes}"
                )
