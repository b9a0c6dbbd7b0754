"""Exceptions of the store client.

A `ProgramStoreError` is a `TierError`, which the request handler maps to a response through the table in
`dewpin.cluster.errors`. A `StaleViewError` does not leave this package.
"""

from __future__ import annotations

from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.errors import DataplaneError


class ProgramStoreError(TierError):
    """Base class of the exceptions of a `ProgramStore`; `detail` names the limit or the turn concerned."""


class BudgetExceededError(ProgramStoreError):
    """The remaining budget of the program is less than the maximum number of tokens that this turn may generate."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.BUDGET_SPENT, detail)


class TurnNotFoundError(ProgramStoreError):
    """The turn is certainly not stored."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.TURN_UNKNOWN, detail)


class StoreUnavailableError(ProgramStoreError):
    """Too few stores replied before the time-out; it is unknown whether the operation took effect."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


class StaleViewError(DataplaneError):
    """A newer store view is known; an operation that was started under the older view must be restarted."""
