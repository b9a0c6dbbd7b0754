"""The system state: the value of the register, and every change that is made to it, as pure functions.

A change takes the present state and returns the next one, or the same object where nothing is to be done. All states
are plain JSON objects, treated as immutable.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NotRequired, TypedDict

from dewpin.cluster.body_messages import configuration_digest as configuration_digest
from dewpin.cluster.configuration import ConfigurationPatch, InvalidConfigurationError

MOST_REMEMBERED_CONFIGURATIONS = 128
"""Orders of the operator that the state itself remembers; older ones are in each process's `OrderHistory`."""
MOST_REMEMBERED_BEFORE = 2000
"""What releases before `orders_taken` remembered at most."""

Addresses = dict[str, str]


class StoredConfiguration(TypedDict):
    """The operator's configuration as it was sent."""

    generation: int
    digest: str
    body: str


class StoreViewState(TypedDict):
    """The stores by id: `stable` ones hold all records, `next` is the set that a change leads to."""

    epoch: int
    stable: Addresses
    next: Addresses | None
    locations: NotRequired[dict[str, str]]


class SystemState(TypedDict):
    """The register's value. Members and stores are incarnations, by id, with the address of each. `accepted`: the
    newest orders that were taken, generation and digest of each; `orders_taken` counts all of them."""

    version: int
    members: Addresses
    former_members: Addresses
    names: dict[str, str]
    stores: StoreViewState
    retiring: list[str]
    retired: list[str]
    configuration: StoredConfiguration | None
    accepted: list[list[int | str]]
    orders_taken: NotRequired[int]
    note: NotRequired[str]


Change = Callable[[SystemState], SystemState]


class ChangeRefused(Exception):
    """A change that may not be made to the state as it is."""


class AnotherVersionIsCurrent(ChangeRefused):
    """The order builds on a version that is not the present one."""


class GenerationNotAbove(ChangeRefused):
    """The order's generation is not above the present one."""


class OrderForgotten(ChangeRefused):
    """The order's generation is older than all that the state remembers: it may have been taken."""


class StateMoved(ChangeRefused):
    """The state is no longer the one that the change was planned on."""


class PatchInvalid(ChangeRefused):
    """The patch would make an invalid configuration; `faults` has a line for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class UnknownMachine(ChangeRefused):
    """No store machine has that name."""


class TooFewWouldRemain(ChangeRefused):
    """Without the machine the stores could not bear the losses that they have to bear."""


def genesis(members: Addresses, names: Mapping[str, str]) -> SystemState:
    """The state before the first change: the same at every member that makes it."""
    return SystemState(
        version=0,
        members=dict(sorted(members.items())),
        former_members=dict(sorted(members.items())),
        names=dict(sorted(names.items())),
        stores=StoreViewState(epoch=0, stable={}, next=None),
        retiring=[],
        retired=[],
        configuration=None,
        accepted=[],
        orders_taken=0,
    )


def quorum_sets(state: SystemState) -> list[frozenset[str]]:
    """The sets that must each give a majority."""
    return [frozenset(state["members"]), frozenset(state["former_members"])]


def is_settled(state: SystemState) -> bool:
    """Whether no change of members is under way."""
    return state["members"] == state["former_members"]


def successor(state: SystemState) -> SystemState:
    """A copy that is the next version, with the present members as the former ones."""
    following = state.copy()
    following["version"] = state["version"] + 1
    following["former_members"] = state["members"]
    return following


def base_of(state: SystemState) -> int:
    """The version that the present configuration was built on."""
    remembered = state["accepted"]
    return int(remembered[-2][0]) if len(remembered) > 1 else 0


def orders_taken(state: SystemState) -> int:
    """How many orders were ever taken. A state of an earlier release, which didn't count, may have forgotten some."""
    remembered = len(state["accepted"])
    return state.get("orders_taken", remembered + (remembered >= MOST_REMEMBERED_BEFORE))


def is_forgotten(state: SystemState, generation: int, base: int) -> bool:
    """Whether an order of that generation may have been taken before all that the state remembers. Generations rise
    from order to order, and one that was taken is above its base."""
    remembered = state["accepted"]
    if generation <= base or orders_taken(state) == len(remembered):
        return False
    return generation < int(remembered[0][0])


def put_configuration(body: bytes, generation: int, base: int) -> Change:
    """The change that takes a checked configuration in. The same order sent again changes nothing."""
    digest = configuration_digest(body, base)
    return _take_configuration(generation, base, digest, lambda current: body)


def patch_configuration(patch: ConfigurationPatch, order_digest: str, base: int) -> Change:
    """The change that patches the configuration of version `base`. The same order sent again changes nothing. It raises
    PatchInvalid where the patched configuration would be invalid."""

    def patched(current: StoredConfiguration | None) -> bytes:
        if current is None:
            raise PatchInvalid(["there is no configuration to patch yet"])
        try:
            return patch.apply(current["body"])
        except InvalidConfigurationError as invalid:
            raise PatchInvalid(invalid.lines()) from None

    return _take_configuration(patch.generation, base, order_digest, patched)


def _take_configuration(
    generation: int, base: int, order_digest: str, body_after: Callable[[StoredConfiguration | None], bytes]
) -> Change:
    """The change that takes an order in. `order_digest` tells the order from others, `body_after` makes the body."""

    def change(state: SystemState) -> SystemState:
        if [generation, order_digest] in state["accepted"]:
            return state
        if is_forgotten(state, generation, base):
            raise OrderForgotten(f"generation {generation} is older than all that is remembered")
        configuration = state["configuration"]
        current = configuration["generation"] if configuration else 0
        if base != current:
            raise AnotherVersionIsCurrent(f"version {current} is in place, not {base}")
        if generation <= current:
            raise GenerationNotAbove(f"generation {generation} is not above {current}")
        body = body_after(configuration)
        following = successor(state)
        following["configuration"] = StoredConfiguration(
            generation=generation, digest=configuration_digest(body, base), body=body.decode("utf-8")
        )
        entry: list[int | str] = [generation, order_digest]
        following["orders_taken"] = orders_taken(state) + 1
        following["accepted"] = [*state["accepted"], entry][-MOST_REMEMBERED_CONFIGURATIONS:]
        return following

    return change


def on_version(version: int, make: Callable[[SystemState], SystemState]) -> Change:
    """`make` for exactly the state of `version`; StateMoved for any other."""

    def change(state: SystemState) -> SystemState:
        if state["version"] != version:
            raise StateMoved(f"version {state['version']}, planned on {version}")
        return make(state)

    return change


def set_members(members: Addresses, names: Mapping[str, str]) -> Callable[[SystemState], SystemState]:
    """Replaces the register's members."""

    def make(state: SystemState) -> SystemState:
        following = successor(state)
        following["members"] = dict(sorted(members.items()))
        following["names"] = _names_in_use(following, {**state["names"], **names})
        return following

    return make


def begin_stores(
    stores: Addresses, names: Mapping[str, str], locations: Mapping[str, str] = MappingProxyType({})
) -> Callable[[SystemState], SystemState]:
    """The first stores; there is nothing yet that they could lack."""

    def make(state: SystemState) -> SystemState:
        view = StoreViewState(epoch=state["stores"]["epoch"] + 1, stable=dict(sorted(stores.items())), next=None)
        return _with_view(state, view, names, locations)

    return make


def move_stores(
    stores: Addresses, names: Mapping[str, str], locations: Mapping[str, str] = MappingProxyType({})
) -> Callable[[SystemState], SystemState]:
    """Begins a change of the stores to `stores`, or gives one under way another end."""

    def make(state: SystemState) -> SystemState:
        present = state["stores"]
        view = StoreViewState(epoch=present["epoch"] + 1, stable=present["stable"], next=dict(sorted(stores.items())))
        return _with_view(state, view, names, locations)

    return make


def finish_stores(state: SystemState) -> SystemState:
    """Ends the change of the stores that is under way."""
    present = state["stores"]
    assert present["next"] is not None
    view = StoreViewState(epoch=present["epoch"] + 1, stable=present["next"], next=None)
    return _with_view(state, view, {}, {})


def start_retirement(name: str, least_stores: int) -> Change:
    """Marks a store machine, by its name, to be emptied."""

    def change(state: SystemState) -> SystemState:
        if name in state["retiring"] or retirement_is_done(state, name):
            return state
        view = state["stores"]
        held = {**view["stable"], **(view["next"] or {})}
        if name not in {state["names"].get(store) for store in held}:
            raise UnknownMachine(name)
        leaving = {*state["retiring"], name}
        remaining = [store for store in view["next"] or view["stable"] if state["names"].get(store) not in leaving]
        if len(remaining) < least_stores:
            raise TooFewWouldRemain(f"{len(remaining)} stores would remain, {least_stores} are needed")
        following = successor(state)
        following["retiring"] = [*state["retiring"], name]
        return following

    return change


def finish_retirement(name: str) -> Callable[[SystemState], SystemState]:
    """Notes that a machine holds nothing any more."""

    def make(state: SystemState) -> SystemState:
        following = successor(state)
        following["retiring"] = [one for one in state["retiring"] if one != name]
        following["retired"] = [*state["retired"], name][-64:]
        return following

    return make


def retirement_is_done(state: SystemState, name: str) -> bool:
    """Whether a machine has been emptied."""
    return name in state["retired"] and name not in state["retiring"]


def _with_view(
    state: SystemState, view: StoreViewState, names: Mapping[str, str], locations: Mapping[str, str]
) -> SystemState:
    following = successor(state)
    known = {**state["stores"].get("locations", {}), **locations}
    view["locations"] = {store: known[store] for store in _stores_in(view) if store in known}
    following["stores"] = view
    following["names"] = _names_in_use(following, {**state["names"], **names})
    return following


def _stores_in(view: StoreViewState) -> list[str]:
    return sorted({*view["stable"], *(view["next"] or {})})


def _names_in_use(state: SystemState, names: Mapping[str, str]) -> dict[str, str]:
    used = {*state["members"], *state["former_members"], *state["stores"]["stable"], *(state["stores"]["next"] or {})}
    return {member: names[member] for member in sorted(used) if member in names}
