"""Orders of the operator at registers of three members, on a fake clock, and what the operator is told."""

from scripted.clock import run
from scripted.registers import Registers

from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import (
    ChangeForgottenError,
    GenerationTooLowError,
    VersionMismatchError,
    configuration_digest,
    put_configuration,
)

WAIT_S = 3.0
ANSWER_S = 0.85


def body_of(generation):
    return b'{"generation": %d}' % generation


def put(generation, base, body=None):
    return put_configuration(body or body_of(generation), generation, base)


def read(state):
    return state


def play(scene, **names):
    async def whole():
        registers = Registers(**names)
        await registers.begin()
        return await scene(registers)

    return run(whole())


async def answer(register, generation, base, body=None, timeout_s=ANSWER_S):
    """What the operator is told: 200, 400, 412 or 503."""
    body = body or body_of(generation)
    try:
        await register.propose(put(generation, base, body), timeout_s)
    except ChangeForgottenError:
        was_accepted = await register.was_accepted(generation, configuration_digest(body, base), timeout_s)
        return 503 if was_accepted is None else 200 if was_accepted else 412
    except VersionMismatchError:
        return 412
    except GenerationTooLowError:
        return 400
    except RegisterUnavailableError:
        return 503
    return 200


async def take(register, first, last):
    """Takes the orders first to last, each on the one before."""
    for generation in range(first, last + 1):
        await register.propose(put(generation, generation - 1), WAIT_S)
