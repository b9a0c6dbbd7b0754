"""What the models of the register and of the ledgers share: proposers and replicas over a network without promises.

The network is the set of all requests ever sent, so that any may come late, twice, out of turn or never; an answer
comes when its request is handled, or is lost. Steps are left out where others stand for them:

- a promise that nobody hears of or waits for any more: it only keeps older ballots out, as the loss of those does;
- a lost answer to an accept that would not have ended the ballot: the loss of a later one stands for it;
- a ballot given up before its second round: it has only raised promises.

With `late_answers` an answer is a message of its own: once its request is handled, it may come at any later time, twice
or never. It comes to the ballot that asked: the program takes an answer by the number of its call, and each ballot has
its own calls. It is left out once it can have no effect: its ballot has ended, or the real `Proposal` stands as it did
and sends nothing when it takes it. It does so for a promise once the second round began, and for an answer that was
taken before (a member makes one promise and accepts one value for a ballot); both hold until the ballot ends.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol, TypeVar

from dewpin.consensus import Ballot
from tests.model.component import Component, Interned
from tests.model.explorer import Label

Answer = tuple[int, str]
"""The number of a request and what was answered."""


class HasParts(Protocol):
    """A state of such a model: each part's state by number, and the requests and answers that are on their way."""

    @property
    def parts(self) -> tuple[int, ...]: ...

    @property
    def requests(self) -> frozenset[int]: ...

    @property
    def answers(self) -> frozenset[Answer]: ...

    def _replace(self, **fields: Any) -> Any: ...


CONFLICT = 'conflict"'
"""Stands in the text of a refusal of both kinds of messages."""
World = TypeVar("World", bound=HasParts)


class Request(NamedTuple):
    """A request of the network: the parts at both ends, and what its text says."""

    sender: int
    target: int
    member: str
    ballot: Ballot
    is_prepare: bool
    epoch: int
    text: str


class QuorumModel:
    """Parts that send requests take `reply MEMBER ANSWER` events and give `(request texts, result or None)`; parts that
    answer them take `request TEXT` events and give the answer's text or None. The fingerprint of the former has
    `ballot`, `is_accepting` and `ballots`, that of the latter `promised`. With `reaches_itself`, a request of a part to
    itself is handled and answered at once."""

    def __init__(
        self,
        parts: list[Component],
        most_ballots: dict[int, int],
        hears_conflicts: bool,
        reaches_itself: bool = False,
        late_answers: bool = False,
    ) -> None:
        self.parts = parts
        self._late_answers = late_answers
        self._reaches_itself = reaches_itself
        self._most_ballots = most_ballots
        self._hears_conflicts = hears_conflicts
        self._texts = Interned()
        self._requests: dict[int, Request] = {}
        self._spent: dict[tuple[int, int, int], bool] = {}

    def at(self, state: HasParts, part: int) -> Any:
        """The fingerprint of a part."""
        return self.parts[part].fingerprint(state.parts[part])

    def read_request(self, sender: int, text: str) -> Request:
        """What a request's text says."""
        raise NotImplementedError

    def after_result(self, state: Any, sender: int, result: Any) -> Any:
        """The state once a sender's operation has ended."""
        raise NotImplementedError

    def is_refused_for_good(self, request: Request, held: Any) -> bool:
        """Whether the target will refuse the request whatever happens."""
        return False

    def part_step(self, state: World, part: int, event: tuple[Any, ...]) -> tuple[World, Any]:
        """The state after an event at one part, and what it let out."""
        number, output = self.parts[part].step(state.parts[part], event)
        if number == state.parts[part]:
            return state, output
        return state._replace(parts=(*state.parts[:part], number, *state.parts[part + 1 :])), output

    def sender_step(self, state: World, sender: int, event: tuple[Any, ...]) -> World:
        """The state after an event at a sender: its requests are on their way, its result is judged."""
        after, (texts, result) = self.part_step(state, sender, event)
        if texts:
            after = after._replace(requests=after.requests.union(self._number(sender, text) for text in texts))
        if result is not None:
            after = self.after_result(after, sender, result)
        if self._reaches_itself:
            after = self._answer_itself(after, sender, texts)
        return self.without_spent_requests(after)

    def _answer_itself(self, state: World, sender: int, texts: tuple[str, ...]) -> World:
        for text in texts:
            request = self._requests[self._number(sender, text)]
            if request.target == sender and self.at(state, sender).ballot == request.ballot:
                handled, answer = self.part_step(state, sender, ("request", text))
                if answer is not None:
                    state = self.sender_step(handled, sender, ("reply", request.member, answer))
        return state

    def _number(self, sender: int, text: str) -> int:
        number = self._texts.number(text)
        if number not in self._requests:
            self._requests[number] = self.read_request(sender, text)
        return number

    def without_spent_requests(self, state: World) -> World:
        """Leaves out requests and answers that can have no effect any more."""
        answers = frozenset([answer for answer in state.answers if not self._is_answer_spent(state, answer)])
        state = state if len(answers) == len(state.answers) else state._replace(answers=answers)
        kept = frozenset([number for number in state.requests if not self._is_spent(state, number)])
        return state if len(kept) == len(state.requests) else state._replace(requests=kept)

    def _is_answer_spent(self, state: HasParts, answer: Answer) -> bool:
        request, text = self._requests[answer[0]], answer[1]
        if self.at(state, request.sender).ballot != request.ballot:
            return True
        standing = state.parts[request.sender]
        after, (texts, result) = self.parts[request.sender].step(standing, ("reply", request.member, text))
        return after == standing and not texts and result is None

    def _is_spent(self, state: HasParts, number: int) -> bool:
        request = self._requests[number]
        key = (number, state.parts[request.target], state.parts[request.sender])
        if key not in self._spent:
            self._spent[key] = self._judge(request, state.parts[request.target], self.at(state, request.sender))
        return self._spent[key]

    def _judge(self, request: Request, target_state: int, waiting: Any) -> bool:
        target = self.parts[request.target]
        is_waited_for = waiting.ballot == request.ballot
        if request.is_prepare and (not is_waited_for or waiting.is_accepting):
            return True
        after, answer = target.step(target_state, ("request", request.text))
        if answer is None and self.is_refused_for_good(request, target.fingerprint(target_state)):
            return True
        is_refused = after == target_state and answer is not None and CONFLICT in answer
        return is_refused and (request.is_prepare or not is_waited_for or not self._hears_conflicts)

    def request_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """Each request on its way may be handled now, and each answer may come."""
        if self._late_answers:
            yield from self._late_steps(state)
            return
        for number in state.requests:
            request = self._requests[number]
            handled, answer = self.part_step(state, request.target, ("request", request.text))
            if answer is None:
                continue
            label = ("prepare" if request.is_prepare else "accept", *request.ballot, "at", request.member)
            waiting = self.at(state, request.sender)
            is_conflict = CONFLICT in answer
            ends = True
            if waiting.ballot == request.ballot and not (is_conflict and not self._may_hear_conflict(request, waiting)):
                heard = self.sender_step(handled, request.sender, ("reply", request.member, answer))
                ends = self.at(heard, request.sender).ballot != request.ballot
                yield (*label, "refused" if is_conflict else "answered"), heard
            if not request.is_prepare and ends and handled is not state:
                yield (*label, "answer lost"), self.without_spent_requests(handled)

    def _late_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        for number in state.requests:
            request = self._requests[number]
            handled, answer = self.part_step(state, request.target, ("request", request.text))
            if answer is None:
                continue
            waiting = self.at(state, request.sender)
            if CONFLICT not in answer or self._may_hear_conflict(request, waiting):
                handled = handled._replace(answers=handled.answers | {(number, answer)})
            label = ("prepare" if request.is_prepare else "accept", *request.ballot, "at", request.member, "handled")
            yield label, self.without_spent_requests(handled)
        for number, answer in state.answers:
            request = self._requests[number]
            label = ("answer to prepare" if request.is_prepare else "answer to accept", *request.ballot)
            heard = self.sender_step(state, request.sender, ("reply", request.member, answer))
            yield (*label, "comes from", request.member), heard

    def _may_hear_conflict(self, request: Request, waiting: Any) -> bool:
        """Whether a refusal may come within the bounds: the sender begins another ballot then."""
        return self._hears_conflicts and waiting.ballots < self._most_ballots[request.sender]
