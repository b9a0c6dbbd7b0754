"""The errors that the client of the stores raises.

A `ProgramStoreError` is a `TierError`: the request handler makes a response of it through the table of
`dewpin.cluster.errors`. A `StaleViewError` stays within this package.
"""

from __future__ import annotations

from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.errors import DataplaneError


class ProgramStoreError(TierError):
    """Base of the errors of a `ProgramStore`; `detail` says which limit or which turn is concerned."""


class BudgetExceededError(ProgramStoreError):
    """The budget of the program does not have room for the most tokens that this turn may generate."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.BUDGET_SPENT, detail)


class TurnNotFoundError(ProgramStoreError):
    """It is certain that no such turn is stored."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.TURN_UNKNOWN, detail)


class StoreUnavailableError(ProgramStoreError):
    """Too few stores replied in time; whether the operation took effect is unknown."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


class StaleViewError(DataplaneError):
    """A newer store view is known: what was started under the older one has to be started again."""
