"""Runs the blocking calls of `OperatorApi` on a simulated loop, where no thread may block.

A call runs until it waits for a proposal. The proposal is awaited, and the call is run again from its beginning with
the known outcome and with the clock readings of the earlier run. A call has no other effects, so it repeats exactly.
"""

import asyncio

from dewpin.controlplane import operator_api


class _ProposalNeeded(BaseException):
    """Raised when the call waits for this coroutine."""

    def __init__(self, proposal):
        super().__init__()
        self.proposal = proposal


class _KnownOutcome:
    """Replaces the future of a proposal whose outcome is known."""

    def __init__(self, value, error):
        self._value, self._error = value, error

    def result(self, timeout=None):
        if self._error is not None:
            raise self._error
        return self._value


class _ReplayedAsyncio:
    """Replaces the module `asyncio` in `operator_api`."""

    def __init__(self):
        self.known_outcomes = iter(())

    def __getattr__(self, name):
        return getattr(asyncio, name)

    def run_coroutine_threadsafe(self, proposal, loop):
        outcome = next(self.known_outcomes, None)
        if outcome is None:
            raise _ProposalNeeded(proposal)
        proposal.close()
        return outcome


class _ReplayedTime:
    """Replaces the module `time` in `operator_api`."""

    def __init__(self):
        self.readings, self.position = [], 0

    def monotonic(self):
        if self.position == len(self.readings):
            self.readings.append(asyncio.get_running_loop().time())
        self.position += 1
        return self.readings[self.position - 1]


_REPLAYED_ASYNCIO = operator_api.asyncio = _ReplayedAsyncio()
_REPLAYED_TIME = operator_api.time = _ReplayedTime()


async def run_operator_call(call):
    """Run a call of OperatorApi, given as a function without arguments, and return its response."""
    outcomes, readings = [], []
    while True:
        _REPLAYED_ASYNCIO.known_outcomes = iter(outcomes)
        _REPLAYED_TIME.readings, _REPLAYED_TIME.position = readings, 0
        try:
            return call()
        except _ProposalNeeded as needed:
            outcomes.append(await _outcome(needed.proposal))


async def _outcome(proposal):
    try:
        return _KnownOutcome(await proposal, None)
    except Exception as error:
        return _KnownOutcome(None, error)
