"""The memory budget: what is granted, refused and evicted."""

import threading

import pytest

from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.memory_budget import (
    BUDGET_SHARE,
    PROGRESS_BYTES,
    RESERVED_SHARE,
    SMALL_ACCOUNT_BYTES,
    STALLED_AFTER_S,
    AccountEvictedError,
    MemoryBudget,
    MemoryBudgetExceededError,
)

LIMIT = 1_000_000
RESERVED = int(LIMIT * RESERVED_SHARE)
LARGE_LIMIT = LIMIT - RESERVED


class World:
    """A budget with a clock, and the accounts that were evicted."""

    def __init__(self):
        self.now_s = 100.0
        self.budget = MemoryBudget(LIMIT, lambda: self.now_s)
        self.evicted = []

    def account(self, held_bytes=0, is_receiving=False, **options):
        account = self.budget.open_account(lambda: self.evicted.append(account), **options)
        account.resize(held_bytes)
        if is_receiving:
            account.begin_transfer()
        return account


@pytest.fixture
def world():
    return World()


def test_charges_add_up_and_are_released(world):
    first, second = world.account(300_000), world.account(200_000)
    first.add(50_000)
    assert world.budget.held_bytes == 550_000
    first.release_to(100_000)
    first.release_to(200_000)  # holds less already
    assert (first.held_bytes, world.budget.held_bytes) == (100_000, 300_000)
    second.close()
    second.close()
    assert world.budget.held_bytes == 100_000


def test_refused_charge_changes_nothing(world):
    world.account(500_000)
    account = world.account(300_000)
    with pytest.raises(MemoryBudgetExceededError) as refusal:
        account.resize(500_000)
    assert refusal.value.kind is ErrorKind.OVERLOADED
    assert refusal.value.response.guarantees_not_run
    assert (account.held_bytes, world.budget.held_bytes) == (300_000, 800_000)


def test_only_small_accounts_and_charges_with_priority_use_the_reserved_part(world):
    world.account(LARGE_LIMIT)
    large = world.account(SMALL_ACCOUNT_BYTES)
    with pytest.raises(MemoryBudgetExceededError):
        large.add(1)
    large.add(1, has_priority=True)
    assert world.budget.held_bytes == LARGE_LIMIT + SMALL_ACCOUNT_BYTES + 1


def test_single_account_is_granted_more_than_the_budget(world):
    world.account(RESERVED)
    world.account().resize(10 * LIMIT)
    with pytest.raises(MemoryBudgetExceededError):
        world.account(1)


def test_accounts_without_progress_are_evicted_longest_stalled_first(world):
    first = world.account(400_000, is_receiving=True)
    world.now_s += 0.1
    second = world.account(400_000, is_receiving=True)
    world.now_s += STALLED_AFTER_S
    newcomer = world.account(200_000)
    assert world.evicted == [first]
    assert first.is_evicted and first.held_bytes == 0
    newcomer.resize(600_000)
    assert world.evicted == [first, second]
    assert world.budget.held_bytes == 600_000
    for use in (lambda: first.add(1), lambda: first.resize(0), first.begin_transfer, first.end_transfer):
        with pytest.raises(AccountEvictedError):
            use()
    first.close()
    assert world.budget.held_bytes == 600_000


def test_account_that_makes_progress_is_not_evicted(world):
    account = world.account(700_000, is_receiving=True)
    world.now_s += STALLED_AFTER_S
    account.add(PROGRESS_BYTES)
    with pytest.raises(MemoryBudgetExceededError):
        world.account(200_000)
    assert world.evicted == []


def test_account_that_receives_a_few_bytes_makes_no_progress(world):
    account = world.account(700_000, is_receiving=True)
    world.now_s += STALLED_AFTER_S
    account.add(PROGRESS_BYTES - 1)
    world.account(200_000)
    assert world.evicted == [account]


def test_sent_bytes_are_progress(world):
    account = world.account(700_000, is_receiving=True)
    world.now_s += STALLED_AFTER_S
    account.record_transfer(PROGRESS_BYTES)
    with pytest.raises(MemoryBudgetExceededError):
        world.account(200_000)


def test_work_in_progress_is_never_evicted(world):
    account = world.account(700_000, is_receiving=True)
    account.end_transfer()
    world.now_s += 100 * STALLED_AFTER_S
    with pytest.raises(MemoryBudgetExceededError):
        world.account(200_000)
    assert world.evicted == []


def test_charge_waits_for_an_evicted_holder_that_releases_its_memory_itself():
    budget = MemoryBudget(LIMIT)
    is_evicted = threading.Event()
    account = budget.open_account(is_evicted.set)
    account.resize(700_000)
    account.begin_transfer(is_released_by_eviction=False)

    def release():
        assert is_evicted.wait(10.0)
        account.close()

    releasing = threading.Thread(target=release)
    releasing.start()
    threading.Event().wait(STALLED_AFTER_S)
    budget.open_account(lambda: None).resize(400_000)
    releasing.join()
    assert budget.held_bytes == 400_000


def test_holder_that_may_not_wait_is_refused(world):
    account = world.account(700_000)
    account.begin_transfer(is_released_by_eviction=False)
    world.now_s += STALLED_AFTER_S
    with pytest.raises(MemoryBudgetExceededError):
        world.account(400_000, may_wait=False)
    assert world.evicted == [account]


def test_stalled_account_is_evicted_on_request(world):
    assert not world.budget.evict_stalled_account()
    account = world.account(1, is_receiving=True)
    assert not world.budget.evict_stalled_account()
    world.now_s += STALLED_AFTER_S
    assert world.budget.evict_stalled_account()
    assert world.evicted == [account]


def test_budget_is_a_share_of_the_process_memory():
    assert MemoryBudget.for_process(300.0).limit_bytes == int(300e6 * BUDGET_SHARE)
    assert MemoryBudget.for_process(0.0).limit_bytes > 300e6


def test_what_no_process_could_hold_is_refused_even_alone(world):
    account = world.account()
    account.check_can_ever_hold(LIMIT)
    with pytest.raises(MemoryBudgetExceededError):
        account.check_can_ever_hold(LIMIT + 1)
