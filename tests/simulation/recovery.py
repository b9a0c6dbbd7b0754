"""What must work again a while after the last trouble, beside what the oracle judges at a run's end."""

PROGRAMS = 6
TRIES = 4


async def turns_are_taken(play):
    """New programs get turns at every front. Programs differ in the stores that hold them, so there are a few."""
    for front in play.world.fronts():
        for _ in range(PROGRAMS):
            program = play.clients.add_program(most=40, turns_in_budget=10)
            ends = []
            while len(ends) < TRIES and "done" not in ends:
                _, status = await play.clients.take_turn(front, program)
                ends.append(status)
            if "done" not in ends:
                play.world.oracle.breaks("RECOVER", f"{front.name} takes no turn of {program.name}: {ends}")
