"""A sender's knowledge of the cluster: applies updates and relays them to the children in the relay tree."""

from __future__ import annotations

from collections.abc import Callable

from dewpin.cluster.body_messages import RELAY_BODY
from dewpin.cluster.body_pages import BodyPageService, KnownBody
from dewpin.cluster.relay_messages import RELAY_WATCH, LeaseGrant, RelayUpdate, StateJson, WatchRequest
from dewpin.cluster.relay_service import RelayedKnowledge, RelayService
from dewpin.cluster.rpc import Handler, RpcClient
from dewpin.dataplane.membership.body_fetch import BodyFetch
from dewpin.dataplane.membership.local_system_state import LocalSystemState
from dewpin.dataplane.membership.receiver_list import ReceiverList
from dewpin.dataplane.membership.state_confirmation import StateConfirmation
from dewpin.dataplane.membership.update_sources import UpdateSources


class ClusterKnowledge:
    """The system state and the receiver list of one sender.

    sources: the sources of updates and bodies.
    system_state: the system state; its configuration may lack the body while that is being fetched.
    receiver_list: the known receivers.
    confirmation: the confirmation of the system state by a majority.
    on_state: called with each system state that takes effect.
    max_age_s: returns the maximum age of a confirmed state that is relayed.
    clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        client: RpcClient,
        address: str,
        sources: UpdateSources,
        receiver_list: ReceiverList,
        on_state: Callable[[StateJson], None],
        max_age_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self.sources = sources
        self.system_state = LocalSystemState()
        self.receiver_list = receiver_list
        self.confirmation = StateConfirmation(clock())
        self._on_state = on_state
        self._max_age_s = max_age_s
        self._clock = clock
        self._relay = RelayService(self._relayed_knowledge)
        self._pages = BodyPageService(self._known_body, clock)
        self._fetch = BodyFetch(client, address, sources, self._pages.announce, self._add_body, clock)

    @property
    def handlers(self) -> dict[str, Handler]:
        """The request handlers for the children in the relay tree."""
        return {RELAY_WATCH: self._relay.handle_watch, RELAY_BODY: self._pages.handle}

    def stop(self) -> None:
        """Cancel the fetch of a configuration body."""
        self._fetch.stop()

    def is_current(self) -> bool:
        """Return whether the complete state was confirmed within `max_age_s`."""
        return self.confirmation.age_s(self._clock()) <= self._max_age_s()

    def is_behind(self, grant: LeaseGrant) -> bool:
        """Return whether the control server that granted a lease has a newer state or receiver list."""
        receivers_version = self.receiver_list.directory.version
        return grant.state_version > self.system_state.newest_version or grant.receivers_version > receivers_version

    def watch_request(self, is_long_poll: bool) -> WatchRequest:
        """Create a request for newer updates; with `is_long_poll`, the reply waits until there is one."""
        state = self.system_state
        return WatchRequest(state.newest_version, self.receiver_list.directory.version, is_long_poll, state.generation)

    def apply_update(self, update: RelayUpdate, asked_s: float) -> None:
        """Apply the reply to a watch. Ages count from `asked_s`, the time of the request: the reply may be delayed.

        Raises KeyError or ValueError if the state is malformed.
        """
        has_changed = False
        if update.state is not None and self.system_state.update(update.state):
            self._apply_newest_state()
            has_changed = True
        list_read_s = asked_s - update.list_age_s
        if update.receivers is not None and self.receiver_list.apply_copy(
            update.receivers_version, update.receivers, list_read_s
        ):
            has_changed = True
        self.receiver_list.record_read_time(update.receivers_version, list_read_s)
        self.confirmation.confirm(asked_s - update.knowledge_age_s)
        if has_changed:
            self._relay.announce()

    def _apply_newest_state(self) -> None:
        """Apply the newest state as far as it is available, and fetch its body if it is missing."""
        self.confirmation.set_complete(self.system_state.is_complete)
        self._on_state(self.system_state.effective)
        self._fetch.fetch(self.system_state.missing_body)
        self._pages.announce()

    def _add_body(self, digest: str, body: str) -> None:
        if self.system_state.add_body(digest, body):
            self._apply_newest_state()
            self._relay.announce()

    def _known_body(self, digest: str) -> KnownBody | None:
        body = self.system_state.body_of(digest)
        return KnownBody(body, len(body)) if body is not None else self._fetch.known_body(digest)

    def _relayed_knowledge(self) -> RelayedKnowledge:
        age_s = self.confirmation.newest_age_s(self._clock())
        return RelayedKnowledge(
            state=self.system_state.newest,
            directory=self.receiver_list.directory,
            list_age_s=self.receiver_list.shared_age_s(),
            age_s=age_s,
            is_current=age_s <= self._max_age_s(),
        )
