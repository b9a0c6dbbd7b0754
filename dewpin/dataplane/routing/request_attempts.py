"""The attempts of one routed request: carries out what the retry stage says, until there is an answer."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.configuration import Route, Service
from dewpin.cluster.errors import ErrorKind
from dewpin.dataplane.http11.messages import PRIORITY, Answer, HeaderField, Headers, Request, own_answer
from dewpin.dataplane.load_balancing.balancer import Balancer, NoPlace, Place
from dewpin.dataplane.load_balancing.slot_allocation import PlaceRequest
from dewpin.dataplane.metrics import RequestFigures
from dewpin.dataplane.programs.turns import OpenTurn
from dewpin.dataplane.routing.event_relay import EventRelay, EventSource
from dewpin.dataplane.routing.retry import (
    GATEWAY_TIMED_OUT,
    EndUnknown,
    PassOn,
    Pause,
    Refuse,
    RetryPolicy,
    RetryStage,
    Send,
)
from dewpin.dataplane.upstream.calls import Call, CallResult, ReceiverAnswer, Upstream
from dewpin.dataplane.upstream.outcome import Outcome, StreamCut

HOLD_SHARE_OF_AIM = 0.2
"""A request waits for a place for this share of its latency objective at most."""
UNANSWERED = frozenset({Outcome.NEVER_SENT, Outcome.TIMED_OUT, Outcome.CLIENT_GONE})
RECEIVER_ERRORS = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.CLOSED, Outcome.MALFORMED})
"""Outcomes that count against a receiver; silence until the time's end may be the request's own doing."""
LEAST_URGENT_PRIORITY = 9
"""The last rank that receivers know; 0 goes first, as among the routes."""
LENGTH_HEADERS = frozenset({"content-length"})


@dataclass(frozen=True, slots=True)
class Tools:
    """What all requests of a sender share."""

    balancer: Balancer
    upstream: Upstream
    clock: Callable[[], float]
    pause: Callable[[float], None]
    randomness: random.Random
    figures: RequestFigures


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request, where it goes, and the time at which it has to be over."""

    request: Request
    route: Route
    service: Service
    deadline: float
    sticky_key: str | None = None
    turn: OpenTurn | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.may_repeat or (self.route.is_stream and self.route.resumable)

    @property
    def aim_s(self) -> float:
        """Return the latency objective."""
        return min(self.route.target_ms, self.route.timeout_ms) / 1000


class RequestAttempts:
    """Runs one request to its answer, in the thread of its client's connection."""

    def __init__(self, tools: Tools, routed: RoutedRequest) -> None:
        self._tools = tools
        self._routed = routed
        policy = RetryPolicy(routed.repeatable, max(1, routed.route.retries), routed.aim_s)
        self._stage = RetryStage(policy, routed.deadline, tools.randomness)
        self._answer: ReceiverAnswer | None = None
        self._stream_place: Place | None = None
        self._stream_began = 0.0
        self._resume_headers: tuple[HeaderField, ...] = ()

    def run(self) -> Answer:
        """Return the answer to the client; an `EventRelay` in it settles the turn when it is closed."""
        while True:
            result = self._next_result()
            if isinstance(result, Answer):
                return result
            if result.stream is None or result.answer is None:
                continue
            relay = self._relay(result.stream)
            try:
                relay.read_first()
            except StreamCut as cut:
                self._count_cut(cut.outcome)
                continue
            self._tools.figures.passed_on += 1
            return client_answer(result.answer, relay)

    def _next_result(self) -> CallResult | Answer:
        """Carry out steps until a stream begins or the request ends."""
        while True:
            step = self._stage.next_step(self._tools.clock())
            if isinstance(step, Send):
                if self._client_has_gone():
                    self._stage.record_client_gone()
                    continue
                result = self._send(step)
                if result is not None and result.stream is not None:
                    return result
            elif isinstance(step, Pause):
                self._tools.pause(max(0.0, step.until - self._tools.clock()))
            else:
                return self._end(step)

    def _end(self, step: PassOn | Refuse | EndUnknown) -> Answer:
        figures = self._tools.figures
        if isinstance(step, PassOn) and self._answer is not None:
            figures.passed_on += 1
            return client_answer(self._answer, self._answer.body)
        if isinstance(step, Refuse):
            figures.refused += 1
            return own_answer(ErrorKind.OVERLOADED, retry_after_s=step.retry_after_s)
        figures.unknown += 1
        timed_out = isinstance(step, EndUnknown) and step.status == GATEWAY_TIMED_OUT
        return own_answer(ErrorKind.DEADLINE_PASSED if timed_out else ErrorKind.RECEIVER_FAILED)

    def _send(self, step: Send) -> CallResult | None:
        """Send the request to a receiver with room; None if there is none in time."""
        place = self._tools.balancer.acquire(self._place_request(step), self._client_has_gone)
        if isinstance(place, NoPlace):
            self._stage.record_no_place(place.retry_after_s)
            return None
        kept = False
        try:
            result = self._call(place)
            kept = result.stream is not None
        finally:
            if not kept:
                place.release()
        if kept:
            place.has_begun()
            self._stream_place = place
        return result

    def _client_has_gone(self) -> bool:
        client = self._routed.request.client
        return client is not None and client.has_gone()

    def _place_request(self, step: Send) -> PlaceRequest:
        routed = self._routed
        hold_until = routed.request.received_at + HOLD_SHARE_OF_AIM * routed.aim_s
        if step.effect_unknown:
            hold_until = max(hold_until, self._tools.clock() + routed.aim_s)
        return PlaceRequest(
            service=routed.service,
            route=routed.route.name,
            priority=routed.route.priority,
            aim_s=routed.aim_s,
            hold_until=min(routed.deadline, hold_until),
            sticky_key=routed.sticky_key,
            avoid=step.avoid,
        )

    def _call(self, place: Place) -> CallResult:
        routed = self._routed
        call = Call(
            request=routed.request,
            deadline=routed.deadline,
            repeatable=routed.repeatable,
            streaming=routed.route.is_stream,
            body=routed.turn.body if routed.turn else None,
            replaced_headers=(*self._priority_headers(), *self._resume_headers),
        )
        self._tools.figures.attempts += 1
        started = self._stream_began = self._tools.clock()
        result = self._tools.upstream.call(place.receiver, call)
        now = self._tools.clock()
        if result.outcome not in UNANSWERED:
            place.was_answered()
        if result.load is not None:
            place.heard(result.load)
        if result.stream is None:
            self._count(place, result, now, now - started)
        return result

    def _priority_headers(self) -> tuple[HeaderField, ...]:
        """Return the urgency that a receiver is told: its route's rank, unless the client told one itself."""
        if self._routed.request.headers.get(PRIORITY) is not None:
            return ()
        return (("Priority", str(min(self._routed.route.priority, LEAST_URGENT_PRIORITY))),)

    def _count(self, place: Place, result: CallResult, now: float, took_s: float) -> None:
        """Tell the retry stage and the balancer how a call ended."""
        may_pass_on = result.answer is not None and result.answer.may_pass_on
        if may_pass_on:
            self._answer = result.answer
        self._stage.record_call(place.receiver.id, result.outcome, now, may_pass_on)
        if result.outcome is Outcome.SUCCESS:
            place.was_served(took_s)
        elif result.outcome is Outcome.NEVER_SENT:
            place.has_failed()
        elif result.outcome is Outcome.NOT_EXECUTED:
            self._count_refusal(place, result)
        elif result.outcome in RECEIVER_ERRORS:
            place.has_erred()

    def _count_refusal(self, place: Place, result: CallResult) -> None:
        if not result.misdirected:
            place.was_refused(result.told_wait_s)
        elif self._routed.request.headers.get("expect-version") is None:
            place.has_failed()
        self._stage.expect_wait(self._tools.balancer.expected_wait(self._routed.service.name))

    def _relay(self, source: EventSource) -> EventRelay:
        routed = self._routed
        resume_from = self._resume if routed.repeatable else None
        return EventRelay(source, resume_from, routed.turn, self._time_left_s, self._on_close)

    def _time_left_s(self) -> float:
        return self._routed.deadline - self._tools.clock()

    def _on_close(self, whole: bool) -> None:
        if whole and self._stream_place is not None:
            self._stream_place.was_served(self._tools.clock() - self._stream_began)
        self._release_stream_place()
        if not whole:
            self._tools.figures.broken_streams += 1

    def _resume(self, last_id: str | None, cut: Outcome) -> EventSource | None:
        """Pick a cut stream up at another receiver, from the last event that was passed on."""
        self._count_cut(cut)
        if last_id is not None:
            self._resume_headers = (("Last-Event-Id", last_id),)
        result = self._next_result()
        if isinstance(result, Answer):
            return None
        self._tools.figures.resumed_streams += 1
        return result.stream

    def _count_cut(self, cut: Outcome) -> None:
        """Tell the retry stage that the stream under way was cut, and give its place back."""
        if self._stream_place is not None:
            self._stage.record_call(self._stream_place.receiver.id, cut, self._tools.clock())
            if cut in RECEIVER_ERRORS:
                self._stream_place.has_erred()
            self._release_stream_place()

    def _release_stream_place(self) -> None:
        place, self._stream_place = self._stream_place, None
        if place is not None:
            place.release()


def client_answer(answer: ReceiverAnswer, body: bytes | EventRelay) -> Answer:
    """Return a receiver's answer as it goes to the client."""
    left_out = frozenset() if isinstance(body, bytes) else LENGTH_HEADERS
    return Answer(answer.status, Headers(answer.headers).end_to_end(left_out), body, answer.reason)
