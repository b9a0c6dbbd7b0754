"""What must hold again once trouble is over: orders are taken, fronts are ready, what was acknowledged can be read."""

from .oracle import ACKNOWLEDGED

LONGEST_ORDER_S = 30.0
READ_WITHIN_S = 2.0
PROGRAMS_AT_A_FRONT = 6
TRIES_OF_A_TURN = 4


async def take_an_order(play):
    """One order in calm times, within `ack_ms`."""
    world, operators = play.world, play.operators
    began_s = world.loop.now
    while True:
        order = operators.new_order(await operators.current())
        status = await operators.put(order, tries_s=10.0)
        took_s = world.loop.now - began_s
        if status == ACKNOWLEDGED or took_s > LONGEST_ORDER_S:
            break
    world.oracle.figures["last_order_s"] = took_s
    if took_s > world.bounds["ack_ms"] / 1000:
        world.oracle.breaks("ACKS", f"an order in calm times took {took_s:.3f} s")


async def read_back(play):
    """The configuration at every control server, readiness of every front, and all chains from the stores alone."""
    world, oracle = play.world, play.world.oracle
    for host in world.stores():
        oracle.read_back(*await play.operators.read(host))
    for front in world.fronts():
        if not front.is_ready:
            oracle.breaks("RECOVER", f"{front.name} is not ready after the trouble")
    await play.clients.read_everything(play.dice.choice(world.fronts()), world.loop.now + READ_WITHIN_S)


async def turns_are_taken(play):
    """New programs get turns at every front. Programs differ in the stores that hold them, so there are a few."""
    for front in play.world.fronts():
        for _ in range(PROGRAMS_AT_A_FRONT):
            program = play.clients.add_program(most=40, turns_in_budget=10)
            ends = []
            while len(ends) < TRIES_OF_A_TURN and "done" not in ends:
                _, status = await play.clients.take_turn(front, program)
                ends.append(status)
            if "done" not in ends:
                play.world.oracle.breaks("RECOVER", f"{front.name} takes no turn of {program.name}: {ends}")
