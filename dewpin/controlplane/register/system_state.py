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
from dewpin.cluster.errors import DewpinError

MAX_CHANGES_IN_STATE = 128
"""Changes by the operator that the state itself lists; older ones are in each process's `ChangeHistory`."""
MAX_CHANGES_IN_UNCOUNTED_STATE = 2000
"""What releases that did not count the changes (`orders_taken`) kept at most."""

MAX_RETIRED_NAMES = 64

Addresses = dict[str, str]
"""Addresses by id of the incarnation."""


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
    """The register's value. Members and stores are incarnations, by id, with the address of each.

    The keys are those of the wire and of stored data.

    Attributes:
        version: rises by one with each change.
        members: the members of the register; the next value needs a majority of them and of `former_members`.
        former_members: the members before the last change.
        names: the name of the machine of each member and store.
        stores: the stores, and the change of them that is under way.
        retiring: names of the machines that are to be emptied.
        retired: names of the machines that were emptied, the newest last.
        configuration: the operator's configuration, None before the first.
        accepted: the newest changes by the operator that were accepted, generation and digest of each.
        orders_taken: how many changes by the operator were ever accepted.
        note: of earlier releases; nothing reads it.
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


class ChangeRejectedError(DewpinError):
    """The change may not be made to the state as it is."""


class VersionMismatchError(ChangeRejectedError):
    """The operator's change builds on a configuration that is not the present one."""


class GenerationTooLowError(ChangeRejectedError):
    """The generation of the operator's change is not above the present one."""


class ChangeForgottenError(ChangeRejectedError):
    """The change is older than all that the state lists: it may have been accepted before."""


class StateVersionChangedError(ChangeRejectedError):
    """The state is no longer the version that the change was planned on."""


class InvalidPatchError(ChangeRejectedError):
    """The patch would make an invalid configuration; `errors` has a line for each reason."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class UnknownMachineError(ChangeRejectedError):
    """No store machine has that name."""


class TooFewStoresRemainError(ChangeRejectedError):
    """Without the machine there would be too few stores for the losses that they have to tolerate."""


def initial_state(members: Addresses, names: Mapping[str, str]) -> SystemState:
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


def is_membership_stable(state: SystemState) -> bool:
    """Whether no change of the register's members is under way."""
    return state["members"] == state["former_members"]


def successor(state: SystemState) -> SystemState:
    """A copy that is the next version, with the present members as the former ones."""
    following = state.copy()
    following["version"] = state["version"] + 1
    following["former_members"] = state["members"]
    return following


def base_generation_of(state: SystemState) -> int:
    """The generation that the present configuration was built on; 0 for the first one."""
    remembered = state["accepted"]
    return int(remembered[-2][0]) if len(remembered) > 1 else 0


def accepted_change_count(state: SystemState) -> int:
    """How many changes by the operator were ever accepted.

    A state of an earlier release, which did not count, is taken to have dropped some once it was full.
    """
    remembered = len(state["accepted"])
    return state.get("orders_taken", remembered + (remembered >= MAX_CHANGES_IN_UNCOUNTED_STATE))


def is_forgotten(state: SystemState, generation: int, base: int) -> bool:
    """Whether a change of that generation may have been accepted before all that the state lists.

    Generations rise from change to change, and an accepted one is above its base.
    """
    remembered = state["accepted"]
    if generation <= base or accepted_change_count(state) == len(remembered):
        return False
    return generation < int(remembered[0][0])


def put_configuration(body: bytes, generation: int, base: int) -> ChangeFunction:
    """The change that stores a valid configuration. The same request sent again changes nothing."""
    digest = configuration_digest(body, base)
    return _accept_configuration(generation, base, digest, lambda current: body)


def patch_configuration(patch: ConfigurationPatch, request_digest: str, base: int) -> ChangeFunction:
    """The change that patches the configuration of generation `base`. The same request sent again changes nothing.

    It raises InvalidPatchError where the patched configuration would be invalid.
    """

    def patched(current: StoredConfiguration | None) -> bytes:
        if current is None:
            raise InvalidPatchError(["there is no configuration to patch yet"])
        try:
            return patch.apply(current["body"])
        except InvalidConfigurationError as invalid:
            raise InvalidPatchError(invalid.lines()) from None

    return _accept_configuration(patch.generation, base, request_digest, patched)


def _accept_configuration(
    generation: int, base: int, request_digest: str, body_after: Callable[[StoredConfiguration | None], bytes]
) -> ChangeFunction:
    """The change that stores the body that `body_after` makes. `request_digest` identifies the operator's request.

    It raises ChangeForgottenError, VersionMismatchError or GenerationTooLowError.
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
        body = body_after(configuration)
        following = successor(state)
        following["configuration"] = StoredConfiguration(
            generation=generation, digest=configuration_digest(body, base), body=body.decode("utf-8")
        )
        entry: list[int | str] = [generation, request_digest]
        following["orders_taken"] = accepted_change_count(state) + 1
        following["accepted"] = [*state["accepted"], entry][-MAX_CHANGES_IN_STATE:]
        return following

    return change


def on_version(version: int, make: Callable[[SystemState], SystemState]) -> ChangeFunction:
    """Applies `make` to the state of exactly `version`; StateVersionChangedError for any other."""

    def change(state: SystemState) -> SystemState:
        if state["version"] != version:
            raise StateVersionChangedError(f"version {state['version']}, planned on {version}")
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


def set_initial_stores(
    stores: Addresses, names: Mapping[str, str], locations: Mapping[str, str] = MappingProxyType({})
) -> Callable[[SystemState], SystemState]:
    """Sets the first stores, which have nothing to copy."""

    def make(state: SystemState) -> SystemState:
        view = StoreViewState(epoch=state["stores"]["epoch"] + 1, stable=dict(sorted(stores.items())), next=None)
        return _with_view(state, view, names, locations)

    return make


def start_store_change(
    stores: Addresses, names: Mapping[str, str], locations: Mapping[str, str] = MappingProxyType({})
) -> Callable[[SystemState], SystemState]:
    """Starts a change of the stores to `stores`, or gives the change under way another target."""

    def make(state: SystemState) -> SystemState:
        present = state["stores"]
        view = StoreViewState(epoch=present["epoch"] + 1, stable=present["stable"], next=dict(sorted(stores.items())))
        return _with_view(state, view, names, locations)

    return make


def finish_store_change(state: SystemState) -> SystemState:
    """Ends the change of the stores that is under way: all next stores have copied."""
    present = state["stores"]
    assert present["next"] is not None
    view = StoreViewState(epoch=present["epoch"] + 1, stable=present["next"], next=None)
    return _with_view(state, view, {}, {})


def start_retirement(name: str, least_stores: int) -> ChangeFunction:
    """Marks a store machine, by its name, to be emptied. `least_stores` have to remain.

    It raises UnknownMachineError or TooFewStoresRemainError; a machine that is marked already changes nothing.
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
        if len(remaining) < least_stores:
            raise TooFewStoresRemainError(f"{len(remaining)} stores would remain, {least_stores} are needed")
        following = successor(state)
        following["retiring"] = [*state["retiring"], name]
        return following

    return change


def finish_retirement(name: str) -> Callable[[SystemState], SystemState]:
    """Records that a machine holds nothing any more."""

    def make(state: SystemState) -> SystemState:
        following = successor(state)
        following["retiring"] = [one for one in state["retiring"] if one != name]
        following["retired"] = [*state["retired"], name][-MAX_RETIRED_NAMES:]
        return following

    return make


def is_retired(state: SystemState, name: str) -> bool:
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
