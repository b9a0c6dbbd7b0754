"""The system state, which is the register's value, and all changes to it as pure functions.

A change maps the current state to the next one, or returns the same object if nothing has to change. States are plain
JSON objects and are treated as immutable.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NotRequired, TypedDict

from dewpin.cluster.body_messages import configuration_digest as configuration_digest
from dewpin.cluster.configuration import ConfigurationPatch, InvalidConfigurationError
from dewpin.controlplane.register.change_errors import (
    ChangeForgottenError,
    GenerationTooLowError,
    InvalidPatchError,
    StateVersionChangedError,
    TooFewStoresRemainError,
    UnknownMachineError,
    VersionMismatchError,
)

MAX_CHANGES_IN_STATE = 128
"""Operator changes listed in the state itself; older ones are in the `ChangeHistory` of each process."""
MAX_CHANGES_IN_UNCOUNTED_STATE = 2000
"""Limit of listed changes in earlier releases, which did not count the accepted changes (`orders_taken`)."""

MAX_RETIRED_NAMES = 64

Addresses = dict[str, str]
"""Addresses by incarnation id."""


class StoredConfiguration(TypedDict):
    """The operator's configuration as received."""

    generation: int
    digest: str
    body: str


class StoreViewState(TypedDict):
    """The stores by id. `stable` stores have all records; `next` is the target of a change in progress."""

    epoch: int
    stable: Addresses
    next: Addresses | None
    locations: NotRequired[dict[str, str]]


class SystemState(TypedDict):
    """The register's value. Members and stores are addresses of process incarnations by id.

    The keys are used as they are on the wire and in stored data.

    Attributes:
        version: increases by one with each change.
        members: the members of the register; the next value needs a majority of these and of `former_members`.
        former_members: the members before the last change.
        names: machine names of the members and stores by id.
        stores: the stores and the store change in progress.
        retiring: names of the machines being retired, whose records move to other stores.
        retired: names of the retired machines, the newest last.
        configuration: the operator's configuration; None before the first.
        accepted: the newest accepted operator changes, each as generation and digest.
        orders_taken: total number of accepted operator changes.
        note: written by earlier releases; ignored.
    """

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


ChangeFunction = Callable[[SystemState], SystemState]


def initial_state(members: Addresses, names: Mapping[str, str]) -> SystemState:
    """Return the state before the first change. It is identical on every member that creates it."""
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
    """Return the member sets that must each provide a majority."""
    return [frozenset(state["members"]), frozenset(state["former_members"])]


def is_membership_stable(state: SystemState) -> bool:
    """Return whether no membership change of the register is in progress."""
    return state["members"] == state["former_members"]


def successor(state: SystemState) -> SystemState:
    """Return a copy with the next version and the current members as the former ones."""
    next_state = state.copy()
    next_state["version"] = state["version"] + 1
    next_state["former_members"] = state["members"]
    return next_state


def base_generation_of(state: SystemState) -> int:
    """Return the generation that the current configuration is based on; 0 for the first configuration."""
    listed = state["accepted"]
    return int(listed[-2][0]) if len(listed) > 1 else 0


def accepted_change_count(state: SystemState) -> int:
    """Return the total number of accepted operator changes.

    States of earlier releases do not have this count. Once their list is full, they are assumed to have dropped some.
    """
    listed = len(state["accepted"])
    return state.get("orders_taken", listed + (listed >= MAX_CHANGES_IN_UNCOUNTED_STATE))


def is_forgotten(state: SystemState, generation: int, base: int) -> bool:
    """Return whether a change with this generation may have been accepted before all changes listed in the state.

    Generations increase from change to change, and an accepted generation is greater than its base.
    """
    listed = state["accepted"]
    if generation <= base or accepted_change_count(state) == len(listed):
        return False
    return generation < int(listed[0][0])


def put_configuration(body: bytes, generation: int, base: int) -> ChangeFunction:
    """Return the change that stores a valid configuration. A repeated request changes nothing."""
    digest = configuration_digest(body, base)
    return _accept_configuration(generation, base, digest, lambda current: body)


def patch_configuration(patch: ConfigurationPatch, request_digest: str, base: int) -> ChangeFunction:
    """Return the change that patches the configuration of generation `base`. A repeated request changes nothing.

    The change raises InvalidPatchError if the patched configuration would be invalid.
    """

    def patched_body(current: StoredConfiguration | None) -> bytes:
        if current is None:
            raise InvalidPatchError(["there is no configuration to patch yet"])
        try:
            return patch.apply(current["body"])
        except InvalidConfigurationError as invalid:
            raise InvalidPatchError(invalid.lines()) from None

    return _accept_configuration(patch.generation, base, request_digest, patched_body)


def _accept_configuration(
    generation: int, base: int, request_digest: str, new_body: Callable[[StoredConfiguration | None], bytes]
) -> ChangeFunction:
    """Return the change that stores the body returned by `new_body`. `request_digest` identifies the request.

    The change raises ChangeForgottenError, VersionMismatchError or GenerationTooLowError.
    """

    def change(state: SystemState) -> SystemState:
        if [generation, request_digest] in state["accepted"]:
            return state
        if is_forgotten(state, generation, base):
            raise ChangeForgottenError(f"generation {generation} is older than all that is remembered")
        configuration = state["configuration"]
        current = configuration["generation"] if configuration else 0
        if base != current:
            raise VersionMismatchError(f"version {current} is in place, not {base}")
        if generation <= current:
            raise GenerationTooLowError(f"generation {generation} is not above {current}")
        body = new_body(configuration)
        next_state = successor(state)
        next_state["configuration"] = StoredConfiguration(
            generation=generation, digest=configuration_digest(body, base), body=body.decode("utf-8")
        )
        entry: list[int | str] = [generation, request_digest]
        next_state["orders_taken"] = accepted_change_count(state) + 1
        next_state["accepted"] = [*state["accepted"], entry][-MAX_CHANGES_IN_STATE:]
        return next_state

    return change


def require_version(version: int, change: Callable[[SystemState], SystemState]) -> ChangeFunction:
    """Apply `change` only to a state with this version. Raises StateVersionChangedError for any other."""

    def change_if_version(state: SystemState) -> SystemState:
        if state["version"] != version:
            raise StateVersionChangedError(f"version {state['version']}, planned on {version}")
        return change(state)

    return change_if_version


def set_members(members: Addresses, names: Mapping[str, str]) -> Callable[[SystemState], SystemState]:
    """Return the change that replaces the register's members."""

    def change(state: SystemState) -> SystemState:
        next_state = successor(state)
        next_state["members"] = dict(sorted(members.items()))
        next_state["names"] = _names_in_use(next_state, {**state["names"], **names})
        return next_state

    return change


def set_initial_stores(
    stores: Addresses, names: Mapping[str, str], locations: Mapping[str, str] = MappingProxyType({})
) -> Callable[[SystemState], SystemState]:
    """Return the change that sets the initial stores, which have no records to copy."""

    def change(state: SystemState) -> SystemState:
        view = StoreViewState(epoch=state["stores"]["epoch"] + 1, stable=dict(sorted(stores.items())), next=None)
        return _with_view(state, view, names, locations)

    return change


def start_store_change(
    stores: Addresses, names: Mapping[str, str], locations: Mapping[str, str] = MappingProxyType({})
) -> Callable[[SystemState], SystemState]:
    """Return the change that starts a store change, or sets a new target for the one in progress."""

    def change(state: SystemState) -> SystemState:
        current = state["stores"]
        view = StoreViewState(epoch=current["epoch"] + 1, stable=current["stable"], next=dict(sorted(stores.items())))
        return _with_view(state, view, names, locations)

    return change


def finish_store_change(state: SystemState) -> SystemState:
    """Complete the store change in progress, once all next stores have copied the records."""
    current = state["stores"]
    assert current["next"] is not None
    view = StoreViewState(epoch=current["epoch"] + 1, stable=current["next"], next=None)
    return _with_view(state, view, {}, {})


def start_retirement(name: str, min_stores: int) -> ChangeFunction:
    """Return the change that starts the retirement of the named machine. At least `min_stores` have to remain.

    The change raises UnknownMachineError or TooFewStoresRemainError. It changes nothing if the machine is already
    retiring or retired.
    """

    def change(state: SystemState) -> SystemState:
        if name in state["retiring"] or is_retired(state, name):
            return state
        view = state["stores"]
        in_view = {**view["stable"], **(view["next"] or {})}
        if name not in {state["names"].get(store) for store in in_view}:
            raise UnknownMachineError(name)
        leaving = {*state["retiring"], name}
        remaining = [store for store in view["next"] or view["stable"] if state["names"].get(store) not in leaving]
        if len(remaining) < min_stores:
            raise TooFewStoresRemainError(f"{len(remaining)} stores would remain, {min_stores} are needed")
        next_state = successor(state)
        next_state["retiring"] = [*state["retiring"], name]
        return next_state

    return change


def finish_retirement(name: str) -> Callable[[SystemState], SystemState]:
    """Return the change that marks a machine as retired, once it is neither a store nor a member."""

    def change(state: SystemState) -> SystemState:
        next_state = successor(state)
        next_state["retiring"] = [other for other in state["retiring"] if other != name]
        next_state["retired"] = [*state["retired"], name][-MAX_RETIRED_NAMES:]
        return next_state

    return change


def is_retired(state: SystemState, name: str) -> bool:
    """Return whether a machine is retired."""
    return name in state["retired"] and name not in state["retiring"]


def _with_view(
    state: SystemState, view: StoreViewState, names: Mapping[str, str], locations: Mapping[str, str]
) -> SystemState:
    next_state = successor(state)
    all_locations = {**state["stores"].get("locations", {}), **locations}
    view["locations"] = {store: all_locations[store] for store in _stores_in(view) if store in all_locations}
    next_state["stores"] = view
    next_state["names"] = _names_in_use(next_state, {**state["names"], **names})
    return next_state


def _stores_in(view: StoreViewState) -> list[str]:
    return sorted({*view["stable"], *(view["next"] or {})})


def _names_in_use(state: SystemState, names: Mapping[str, str]) -> dict[str, str]:
    in_use = {
        *state["members"],
        *state["former_members"],
        *state["stores"]["stable"],
        *(state["stores"]["next"] or {}),
    }
    return {member: names[member] for member in sorted(in_use) if member in names}
