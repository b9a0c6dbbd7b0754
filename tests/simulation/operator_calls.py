"""Runs the blocking calls of `OperatorApi` on a simulated loop, where no thread may block.

A call is run until it waits for an agreement; the agreement is awaited, and the call is run again from its beginning
with the outcome at hand, and with the times that it read before. It has no other effects, and so does the same again.
"""

import asyncio

from dewpin.controlplane import operator_api


class _AgreementNeeded(BaseException):
    """The call waits for this coroutine."""

    def __init__(self, agreement):
        super().__init__()
        self.agreement = agreement


class _Settled:
    """Stands for the future of an agreement whose outcome is known."""

    def __init__(self, value, error):
        self._value, self._error = value, error

    def result(self, timeout=None):
        if self._error is not None:
            raise self._error
        return self._value


class _ReplayedAsyncio:
    """Stands for the module `asyncio` in `operator_api`."""

    def __init__(self):
        self.settled = iter(())

    def __getattr__(self, name):
        return getattr(asyncio, name)

    def run_coroutine_threadsafe(self, agreement, loop):
        settled = next(self.settled, None)
        if settled is None:
            raise _AgreementNeeded(agreement)
        agreement.close()
        return settled


class _ReplayedTime:
    """Stands for the module `time` in `operator_api`."""

    def __init__(self):
        self.readings, self.position = [], 0

    def monotonic(self):
        if self.position == len(self.readings):
            self.readings.append(asyncio.get_running_loop().time())
        self.position += 1
        return self.readings[self.position - 1]


_REPLAYED = operator_api.asyncio = _ReplayedAsyncio()
_TIME = operator_api.time = _ReplayedTime()


async def answer_of(call):
    """The answer of a call of OperatorApi, given as a function without arguments."""
    outcomes, readings = [], []
    while True:
        _REPLAYED.settled = iter(outcomes)
        _TIME.readings, _TIME.position = readings, 0
        try:
            return call()
        except _AgreementNeeded as needed:
            outcomes.append(await _outcome(needed.agreement))


async def _outcome(agreement):
    try:
        return _Settled(await agreement, None)
    except Exception as error:
        return _Settled(None, error)
