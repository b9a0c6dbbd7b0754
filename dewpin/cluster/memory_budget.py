"""The memory budget of a process: a limit on the bytes held for all requests together.

Each connection has an account. Bytes are charged to it as they arrive, and so is every copy that is made of them, for
as long as it is held. While the holder of an account waits for its peer, to send more of a request or to read more of a
response, the account may be evicted: if the budget is full, the accounts that have made no progress for the longest
time lose what they hold. Work that has begun is never evicted; if nothing can be evicted, the charge is refused.

Part of the budget is reserved for small requests, so that large ones cannot crowd them out. A single large request is
always granted what it needs while the others hold no more than that part.
"""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from .errors import ErrorKind, TierError

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 1024.0
"""Memory assumed if the settings have no `memory_mb`."""
BUDGET_SHARE = 0.4
"""Share of the process's memory; the rest is for the program, its threads, its caches and what they do not reuse."""
RESERVED_SHARE = 0.125
"""Share of the budget that only accounts with at most SMALL_ACCOUNT_BYTES may use."""
SMALL_ACCOUNT_BYTES = 64 * 1024
PROGRESS_BYTES = 16 * 1024
"""An account makes progress once it has transferred this many bytes since its last progress."""
STALLED_AFTER_S = 0.5
"""An account may be evicted after this time without progress."""
EVICTION_WAIT_S = 0.5
"""Maximum wait for an evicted holder that has to release its memory itself."""


class MemoryBudgetExceededError(TierError):
    """The budget is full, and nothing could be evicted."""

    def __init__(self, detail: str = "too much memory is in use") -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)


class AccountEvictedError(MemoryBudgetExceededError):
    """The account was evicted: what it held is lost."""


def _do_nothing() -> None:
    """Callback of an account that is closed, or that waits for no peer and so is never evicted."""


class MemoryBudget:
    """Thread-safe. Times are those of the clock, in seconds.

    Invariant: `held_bytes` is the sum of `held_bytes` of all open accounts.
    """

    def __init__(self, limit_bytes: int, clock: Callable[[], float] = time.monotonic) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._reserved_bytes = int(limit_bytes * RESERVED_SHARE)
        self._clock = clock
        self._lock = threading.Lock()
        self._released = threading.Condition(self._lock)
        self._waiting_count = 0
        # Accounts that wait for their peers, those without progress for the longest time first.
        self._transfers: OrderedDict[MemoryAccount, None] = OrderedDict()

    @staticmethod
    def for_process(memory_mb: float) -> MemoryBudget:
        """Create the budget of a process whose settings allow this much memory; 0 if they set no limit."""
        return MemoryBudget(int((memory_mb or DEFAULT_MEMORY_MB) * BUDGET_SHARE * BYTES_PER_MB))

    def open_account(self, on_evicted: Callable[[], None] = _do_nothing, may_wait: bool = True) -> MemoryAccount:
        """Open an account.

        on_evicted: may be called by any thread, and must neither block nor use the budget.
        may_wait: whether a charge may wait for other holders to release their memory.
        """
        return MemoryAccount(self, on_evicted, may_wait)

    def evict_stalled_account(self) -> bool:
        """Evict the account without progress for the longest time; return False if none is stalled."""
        with self._lock:
            victim = self._next_stalled(None)
            if victim is not None:
                self._evict(victim)
            return victim is not None

    def _charge(
        self, account: MemoryAccount, held_bytes: int, has_priority: bool = False, max_wait_s: float = 0.0
    ) -> None:
        """Change what an account holds, with the lock held."""
        growth = held_bytes - account.held_bytes
        if growth > 0:
            if not self._fits(account, held_bytes, has_priority):
                self._make_room(account, held_bytes, has_priority, max_wait_s)
            self._record_progress(account, growth)
        self.held_bytes += growth
        account.held_bytes = held_bytes
        if growth < 0:
            self._notify_waiting()

    def _fits(self, account: MemoryAccount, held_bytes: int, has_priority: bool) -> bool:
        others_bytes = self.held_bytes - account.held_bytes
        if others_bytes <= self._reserved_bytes:
            return True
        may_use_reserve = has_priority or held_bytes <= SMALL_ACCOUNT_BYTES
        limit_bytes = self.limit_bytes if may_use_reserve else self.limit_bytes - self._reserved_bytes
        return others_bytes + held_bytes <= limit_bytes

    def _make_room(self, account: MemoryAccount, held_bytes: int, has_priority: bool, max_wait_s: float) -> None:
        """Evict stalled accounts until a charge fits, or wait until it does. Raises MemoryBudgetExceededError."""
        while not self._fits(account, held_bytes, has_priority):
            victim = self._next_stalled(account)
            if victim is None:
                break
            if not victim.is_released_by_eviction:
                max_wait_s = max(max_wait_s, EVICTION_WAIT_S)
            self._evict(victim)
        if max_wait_s > 0 and account.may_wait:
            self._wait_until(lambda: self._fits(account, held_bytes, has_priority), max_wait_s)
            account.check_not_evicted()
        if not self._fits(account, held_bytes, has_priority):
            raise MemoryBudgetExceededError

    def _wait_until(self, condition: Callable[[], bool], max_wait_s: float) -> None:
        self._waiting_count += 1
        try:
            self._released.wait_for(condition, max_wait_s)
        finally:
            self._waiting_count -= 1

    def _notify_waiting(self) -> None:
        if self._waiting_count:
            self._released.notify_all()

    def _next_stalled(self, beneficiary: MemoryAccount | None) -> MemoryAccount | None:
        """Return the account without progress for the longest time, if it is stalled and not the beneficiary."""
        stalled_before = self._clock() - STALLED_AFTER_S
        for account in self._transfers:
            if account.progressed_at > stalled_before:
                return None
            if account is not beneficiary:
                return account
        return None

    def _evict(self, account: MemoryAccount) -> None:
        del self._transfers[account]
        account.is_evicted = True
        account.on_evicted()
        if account.is_released_by_eviction:
            self._release_all(account)

    def _release_all(self, account: MemoryAccount) -> None:
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0
        self._notify_waiting()

    def _record_progress(self, account: MemoryAccount, transferred_bytes: int) -> None:
        account.unrecorded_bytes += transferred_bytes
        if account.unrecorded_bytes >= PROGRESS_BYTES and account in self._transfers:
            account.unrecorded_bytes = 0
            account.progressed_at = self._clock()
            self._transfers.move_to_end(account)


class MemoryAccount:
    """What one holder holds. Its methods are called by the holder, on one thread at a time.

    Attributes:
        held_bytes: the bytes charged at present.
        is_evicted: whether the account was evicted; it cannot be used any more.
        may_wait: whether a charge may wait for other holders.
        is_released_by_eviction: whether `on_evicted` itself releases the memory, or the holder does so later.
        progressed_at, unrecorded_bytes: time of the last progress, and bytes transferred since; used by the budget.
    """

    __slots__ = (
        "_budget",
        "held_bytes",
        "is_evicted",
        "is_released_by_eviction",
        "may_wait",
        "on_evicted",
        "progressed_at",
        "unrecorded_bytes",
    )

    def __init__(self, budget: MemoryBudget, on_evicted: Callable[[], None], may_wait: bool) -> None:
        self._budget = budget
        self.may_wait = may_wait
        self.on_evicted = on_evicted
        self.held_bytes = 0
        self.is_evicted = False
        self.is_released_by_eviction = True
        self.progressed_at = 0.0
        self.unrecorded_bytes = 0

    def resize(self, held_bytes: int, has_priority: bool = False) -> None:
        """Set what the holder holds; see `add`. Raises MemoryBudgetExceededError, and then nothing has changed."""
        with self._budget._lock:
            self.check_not_evicted()
            self._budget._charge(self, held_bytes, has_priority)

    def add(self, count: int, has_priority: bool = False, max_wait_s: float = 0.0) -> None:
        """Charge further bytes.

        has_priority: whether the part that is reserved for small requests may be used, too.
        max_wait_s: how long to wait, in seconds, until the charge fits.

        Raises MemoryBudgetExceededError, and then nothing has changed.
        """
        with self._budget._lock:
            self.check_not_evicted()
            self._budget._charge(self, self.held_bytes + count, has_priority, max_wait_s)

    def release_to(self, held_bytes: int) -> None:
        """Release what the holder holds beyond this number of bytes."""
        with self._budget._lock:
            if held_bytes < self.held_bytes:
                self._budget._charge(self, held_bytes)

    def release(self, count: int) -> None:
        """Release bytes that were charged; an account that was evicted holds none any more."""
        self.release_to(max(0, self.held_bytes - count))

    def check_can_ever_hold(self, count: int) -> None:
        """Raise MemoryBudgetExceededError if this many bytes are more than the whole budget.

        For what is not bounded by the limits of a request; a single request is granted more than the budget.
        """
        if count > self._budget.limit_bytes:
            raise MemoryBudgetExceededError("it would take more memory than the process may use")

    def begin_transfer(self, is_released_by_eviction: bool = True) -> None:
        """Begin to wait for the peer, which counts as progress: the account may be evicted. Raises AccountEvictedError.

        may_wait: whether a charge may wait for other holders.
        is_released_by_eviction: whether `on_evicted` releases the memory at once.
        """
        with self._budget._lock:
            self.check_not_evicted()
            self.is_released_by_eviction = is_released_by_eviction
            self.progressed_at = self._budget._clock()
            self.unrecorded_bytes = 0
            self._budget._transfers[self] = None
            self._budget._transfers.move_to_end(self)

    def record_transfer(self, count: int) -> None:
        """Record that the peer took or sent bytes that are not charged."""
        with self._budget._lock:
            self._budget._record_progress(self, count)

    def end_transfer(self) -> None:
        """Stop waiting for the peer: the account is not evicted any more. Raises AccountEvictedError."""
        with self._budget._lock:
            self.check_not_evicted()
            self._budget._transfers.pop(self, None)

    def close(self) -> None:
        """Release everything; the account must not be used any more."""
        with self._budget._lock:
            self._budget._transfers.pop(self, None)
            self._budget._release_all(self)
            self.on_evicted = _do_nothing  # so that the holder is not kept by a reference cycle

    def check_not_evicted(self) -> None:
        """Raise AccountEvictedError if the account was evicted."""
        if self.is_evicted:
            raise AccountEvictedError


class UncountedMemory:
    """Stands in for an account where no budget applies."""

    def add(self, count: int, has_priority: bool = False, max_wait_s: float = 0.0) -> None:
        """Do nothing."""

    def release(self, count: int) -> None:
        """Do nothing."""


UNCOUNTED_MEMORY = UncountedMemory()
