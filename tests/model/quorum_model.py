"""Common base of the register and ledger models: proposers and replicas connected by an unreliable network.

The network is the set of all requests ever sent, so that any may arrive late, twice, out of order or never; a reply
arrives when its request is handled, or is lost. Steps are omitted if others cover them:

- a promise whose reply is lost or no longer awaited: it only excludes older ballots, as the loss of those does;
- a lost reply to an accept that would not have ended the ballot: the loss of a later one covers it;
- a ballot abandoned before its second round: it has only raised promises.

With `late_replies` a reply is a separate message: once its request is handled, it may arrive at any later time, twice
or never. It is delivered to the ballot that sent the request: the program matches a reply by the number of its call,
and each ballot has its own calls. It is dropped once it can have no effect: its ballot has ended, or the real
`Proposal` does not change and sends nothing on receiving it. This holds for a promise once the second round has begun,
and for a reply that was received before (a member makes one promise and accepts one value per ballot); both hold until
the ballot ends.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol, TypeVar

from dewpin.consensus import Ballot
from tests.model.component import Component, InternTable
from tests.model.explorer import Label

Reply = tuple[int, str]
"""The number of a request and the text of its reply."""


class HasParts(Protocol):
    """A state of such a model: the number of each part's state, and the requests and replies in flight."""

    @property
    def parts(self) -> tuple[int, ...]: ...

    @property
    def requests(self) -> frozenset[int]: ...

    @property
    def replies(self) -> frozenset[Reply]: ...

    def _replace(self, **fields: Any) -> Any: ...


CONFLICT = 'conflict"'
"""Part of the text of a conflict reply to either kind of request."""
ModelState = TypeVar("ModelState", bound=HasParts)


class Request(NamedTuple):
    """A request in the network: the numbers of the sending and receiving parts, and its decoded fields."""

    sender: int
    target: int
    member: str
    ballot: Ballot
    is_prepare: bool
    epoch: int
    text: str


class QuorumModel:
    """Base class of models of proposers and replicas.

    Sending parts handle `reply MEMBER TEXT` events and return `(request texts, result or None)`; replying parts handle
    `request TEXT` events and return the reply's text or None. The fingerprint of the former has `ballot`,
    `is_accepting` and `ballots`, that of the latter `promised`. With `reaches_itself`, a request of a part to itself is
    handled and answered at once."""

    def __init__(
        self,
        parts: list[Component],
        max_ballots: dict[int, int],
        delivers_conflicts: bool,
        reaches_itself: bool = False,
        late_replies: bool = False,
    ) -> None:
        self.parts = parts
        self._late_replies = late_replies
        self._reaches_itself = reaches_itself
        self._max_ballots = max_ballots
        self._delivers_conflicts = delivers_conflicts
        self._request_texts = InternTable()
        self._requests: dict[int, Request] = {}
        self._without_effect: dict[tuple[int, int, int], bool] = {}

    def fingerprint_of(self, state: HasParts, part: int) -> Any:
        """The fingerprint of a part in a state."""
        return self.parts[part].fingerprint(state.parts[part])

    def read_request(self, sender: int, text: str) -> Request:
        """Decodes a request."""
        raise NotImplementedError

    def after_result(self, state: Any, sender: int, result: Any) -> Any:
        """The state after a sender's operation has ended."""
        raise NotImplementedError

    def is_rejected_permanently(self, request: Request, target: Any) -> bool:
        """Whether the target will reject the request in all later states."""
        return False

    def part_step(self, state: ModelState, part: int, event: tuple[Any, ...]) -> tuple[ModelState, Any]:
        """The state after an event at one part, and the part's output."""
        number, output = self.parts[part].step(state.parts[part], event)
        if number == state.parts[part]:
            return state, output
        return state._replace(parts=(*state.parts[:part], number, *state.parts[part + 1 :])), output

    def sender_step(self, state: ModelState, sender: int, event: tuple[Any, ...]) -> ModelState:
        """The state after an event at a sender: its requests are in flight, its result is checked."""
        after, (texts, result) = self.part_step(state, sender, event)
        if texts:
            after = after._replace(requests=after.requests.union(self._number(sender, text) for text in texts))
        if result is not None:
            after = self.after_result(after, sender, result)
        if self._reaches_itself:
            after = self._reply_to_itself(after, sender, texts)
        return self.prune_messages(after)

    def _reply_to_itself(self, state: ModelState, sender: int, texts: tuple[str, ...]) -> ModelState:
        for text in texts:
            request = self._requests[self._number(sender, text)]
            if request.target == sender and self.fingerprint_of(state, sender).ballot == request.ballot:
                handled, reply = self.part_step(state, sender, ("request", text))
                if reply is not None:
                    state = self.sender_step(handled, sender, ("reply", request.member, reply))
        return state

    def _number(self, sender: int, text: str) -> int:
        number = self._request_texts.number(text)
        if number not in self._requests:
            self._requests[number] = self.read_request(sender, text)
        return number

    def prune_messages(self, state: ModelState) -> ModelState:
        """Removes requests and replies that can have no further effect."""
        replies = frozenset([reply for reply in state.replies if not self._reply_has_no_effect(state, reply)])
        state = state if len(replies) == len(state.replies) else state._replace(replies=replies)
        kept = frozenset([number for number in state.requests if not self._has_no_effect(state, number)])
        return state if len(kept) == len(state.requests) else state._replace(requests=kept)

    def _reply_has_no_effect(self, state: HasParts, reply: Reply) -> bool:
        request, text = self._requests[reply[0]], reply[1]
        if self.fingerprint_of(state, request.sender).ballot != request.ballot:
            return True
        standing = state.parts[request.sender]
        after, (texts, result) = self.parts[request.sender].step(standing, ("reply", request.member, text))
        return after == standing and not texts and result is None

    def _has_no_effect(self, state: HasParts, number: int) -> bool:
        request = self._requests[number]
        key = (number, state.parts[request.target], state.parts[request.sender])
        if key not in self._without_effect:
            self._without_effect[key] = self._compute_no_effect(
                request, state.parts[request.target], self.fingerprint_of(state, request.sender)
            )
        return self._without_effect[key]

    def _compute_no_effect(self, request: Request, target_state: int, waiting: Any) -> bool:
        target = self.parts[request.target]
        is_waited_for = waiting.ballot == request.ballot
        if request.is_prepare and (not is_waited_for or waiting.is_accepting):
            return True
        after, reply = target.step(target_state, ("request", request.text))
        if reply is None and self.is_rejected_permanently(request, target.fingerprint(target_state)):
            return True
        is_refused = after == target_state and reply is not None and CONFLICT in reply
        return is_refused and (request.is_prepare or not is_waited_for or not self._delivers_conflicts)

    def request_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """The steps in which a request is handled or a reply arrives."""
        if self._late_replies:
            yield from self._late_reply_steps(state)
            return
        for number in state.requests:
            request = self._requests[number]
            handled, reply = self.part_step(state, request.target, ("request", request.text))
            if reply is None:
                continue
            label = ("prepare" if request.is_prepare else "accept", *request.ballot, "at", request.member)
            waiting = self.fingerprint_of(state, request.sender)
            is_conflict = CONFLICT in reply
            ends = True
            if waiting.ballot == request.ballot and not (
                is_conflict and not self._may_deliver_conflict(request, waiting)
            ):
                delivered = self.sender_step(handled, request.sender, ("reply", request.member, reply))
                ends = self.fingerprint_of(delivered, request.sender).ballot != request.ballot
                yield (*label, "refused" if is_conflict else "answered"), delivered
            if not request.is_prepare and ends and handled is not state:
                yield (*label, "answer lost"), self.prune_messages(handled)

    def _late_reply_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        for number in state.requests:
            request = self._requests[number]
            handled, reply = self.part_step(state, request.target, ("request", request.text))
            if reply is None:
                continue
            waiting = self.fingerprint_of(state, request.sender)
            if CONFLICT not in reply or self._may_deliver_conflict(request, waiting):
                handled = handled._replace(replies=handled.replies | {(number, reply)})
            label = ("prepare" if request.is_prepare else "accept", *request.ballot, "at", request.member, "handled")
            yield label, self.prune_messages(handled)
        for number, reply in state.replies:
            request = self._requests[number]
            label = ("answer to prepare" if request.is_prepare else "answer to accept", *request.ballot)
            delivered = self.sender_step(state, request.sender, ("reply", request.member, reply))
            yield (*label, "comes from", request.member), delivered

    def _may_deliver_conflict(self, request: Request, waiting: Any) -> bool:
        """Whether a conflict may be delivered within the bounds: the sender begins another ballot then."""
        return self._delivers_conflicts and waiting.ballots < self._max_ballots[request.sender]
