"""Operator changes on a register of three members with a simulated clock, and the resulting HTTP status."""

from scripted.clock import run
from scripted.registers import Registers

from dewpin.controlplane.register.change_errors import ChangeForgottenError, GenerationTooLowError, VersionMismatchError
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import configuration_digest, put_configuration

PROPOSE_TIMEOUT_S = 3.0
OPERATOR_TIMEOUT_S = 0.85


def body_of(generation):
    return b'{"generation": %d}' % generation


def put(generation, base, body=None):
    return put_configuration(body or body_of(generation), generation, base)


def read(state):
    return state


def run_scenario(scenario, **names):
    async def start_and_run():
        registers = Registers(**names)
        await registers.begin()
        return await scenario(registers)

    return run(start_and_run())


async def operator_status(register, generation, base, body=None, timeout_s=OPERATOR_TIMEOUT_S):
    """Returns the HTTP status that the operator gets for a change: 200, 400, 412 or 503."""
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


async def make_changes(register, first, last):
    """Makes the changes with generations `first` to `last`, each based on the previous one."""
    for generation in range(first, last + 1):
        await register.propose(put(generation, generation - 1), PROPOSE_TIMEOUT_S)
