"""Executes the attempts of one routed request as directed by its retry state machine."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from dewpin.cluster.configuration import Route, Service
from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.logs import Event, log_event
from dewpin.dataplane.http11.messages import PRIORITY, HeaderField, Headers, Request, Response, error_response
from dewpin.dataplane.load_balancing.balancer import Balancer, NoSlot, Slot
from dewpin.dataplane.load_balancing.outlier_ejection import ReceiverFault
from dewpin.dataplane.load_balancing.slot_allocation import SlotRequest
from dewpin.dataplane.metrics import RequestMetrics
from dewpin.dataplane.programs.turns import OpenTurn
from dewpin.dataplane.routing.event_relay import EventRelay, EventSource
from dewpin.dataplane.routing.retry import (
    FailRequest,
    FinalAction,
    ForwardResponse,
    RejectRequest,
    RetryPolicy,
    RetryStateMachine,
    SendToReceiver,
    WaitUntil,
)
from dewpin.dataplane.upstream.call import Call, CallResult, ReceiverResponse
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome
from dewpin.dataplane.upstream.receiver_client import ReceiverClient
from dewpin.dataplane.upstream.response_stream import ResponseStream

QUEUE_TIME_SHARE_OF_TARGET = 0.2
"""Maximum wait for a slot of a request that has not been executed, as a share of its latency target."""
OUTCOMES_WITHOUT_RESPONSE = frozenset({Outcome.NOT_SENT, Outcome.TIMED_OUT, Outcome.CLIENT_DISCONNECTED})
"""Outcomes without any response from the receiver."""
RECEIVER_ERRORS = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.CLOSED, Outcome.MALFORMED, Outcome.LIMIT_EXCEEDED})
"""Outcomes that count towards the receiver's error rate; a time-out may be caused by the request itself."""
FAULTS = {
    Outcome.LIMIT_EXCEEDED: ReceiverFault.LIMIT_EXCEEDED,
    Outcome.MALFORMED: ReceiverFault.MALFORMED,
    Outcome.TIMED_OUT: ReceiverFault.UNANSWERED,
    Outcome.CLIENT_DISCONNECTED: ReceiverFault.UNANSWERED,
}
"""Outcomes that may be faults of the receiver and eject it."""
LOWEST_PRIORITY = 9
"""The highest priority number that receivers accept; 0 is the highest priority, as it is for routes."""
MS_PER_S = 1000
LENGTH_HEADERS = frozenset({"content-length"})


@dataclass(frozen=True, slots=True)
class SharedComponents:
    """Components that all requests of a sender share."""

    balancer: Balancer
    receiver_client: ReceiverClient
    clock: Callable[[], float]
    sleep: Callable[[float], None]
    randomness: random.Random
    metrics: RequestMetrics


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its routing decision.

    Attributes:
        request: the request as it was received.
        route: the matching route.
        service: the service whose receivers are eligible.
        deadline: time by which the request must be completed, in seconds of the monotonic clock.
        sticky_key: requests with the same key should go to the same receiver.
        turn: the conversation turn that the request opens, if any.
    """

    request: Request
    route: Route
    service: Service
    deadline: float
    sticky_key: str | None = None
    turn: OpenTurn | None = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may be executed more than once."""
        return self.route.may_repeat or (self.route.is_stream and self.route.resumable)

    @property
    def latency_target_s(self) -> float:
        """Return the latency target, bounded by the route's time-out."""
        return min(self.route.target_ms, self.route.timeout_ms) / 1000


@dataclass(frozen=True, slots=True)
class _OpenStream:
    """The stream being forwarded; it holds its slot until it ends."""

    source: ResponseStream
    slot: Slot
    started_at: float


class RequestAttempts:
    """Makes attempts for one request until there is a response; runs on the thread of the client's connection."""

    def __init__(self, shared: SharedComponents, routed: RoutedRequest) -> None:
        self._shared = shared
        self._routed = routed
        policy = RetryPolicy(routed.is_idempotent, max(1, routed.route.retries), routed.latency_target_s)
        self._retry = RetryStateMachine(policy, routed.deadline, shared.randomness)
        self._forwardable_response: ReceiverResponse | None = None
        self._open_stream: _OpenStream | None = None
        self._call_started_at = 0.0
        self._resume_headers: tuple[HeaderField, ...] = ()

    def run(self) -> Response:
        """Return the response for the client; if its body is an `EventRelay`, closing it settles the turn."""
        while True:
            result = self._next_result()
            if isinstance(result, Response):
                return result
            if result.stream is None or result.response is None:
                continue
            relay = self._relay(result.stream)
            try:
                relay.read_first_events()
            except IncompleteResponseError as error:
                self._record_interrupted_stream(error.outcome, has_event=False)
                continue
            self._shared.metrics.forwarded += 1
            return response_to_client(result.response, relay)

    def _next_result(self) -> CallResult | Response:
        """Perform actions until a stream starts or the request ends."""
        while True:
            action = self._retry.next_action(self._shared.clock())
            if isinstance(action, SendToReceiver):
                if self._has_client_disconnected():
                    self._retry.record_client_disconnected()
                    continue
                result = self._send(action)
                if result is not None and result.stream is not None:
                    return result
            elif isinstance(action, WaitUntil):
                self._shared.sleep(max(0.0, action.time - self._shared.clock()))
            else:
                return self._finish(action)

    def _finish(self, action: FinalAction) -> Response:
        metrics = self._shared.metrics
        if isinstance(action, ForwardResponse) and self._forwardable_response is not None:
            metrics.forwarded += 1
            return response_to_client(self._forwardable_response, self._forwardable_response.body)
        if isinstance(action, RejectRequest):
            metrics.not_executed += 1
            return error_response(ErrorKind.OVERLOADED, retry_after_s=action.retry_after_s)
        metrics.unknown_effect += 1
        has_timed_out = isinstance(action, FailRequest) and action.status == HTTPStatus.GATEWAY_TIMEOUT
        return error_response(ErrorKind.DEADLINE_PASSED if has_timed_out else ErrorKind.RECEIVER_FAILED)

    def _send(self, action: SendToReceiver) -> CallResult | None:
        """Send the request to a receiver with a free slot; return None if no slot became free in time."""
        slot = self._shared.balancer.acquire(self._slot_request(action), self._has_client_disconnected)
        if isinstance(slot, NoSlot):
            self._retry.record_no_slot(slot.retry_after_s)
            return None
        has_stream = False
        try:
            result = self._call(slot)
            has_stream = result.stream is not None
        finally:
            if not has_stream:
                slot.release()
        if result.stream is not None:
            slot.reset_backoff()
            self._open_stream = _OpenStream(result.stream, slot, self._call_started_at)
        return result

    def _has_client_disconnected(self) -> bool:
        client = self._routed.request.client
        return client is not None and client.has_disconnected()

    def _slot_request(self, action: SendToReceiver) -> SlotRequest:
        routed = self._routed
        wait_until = routed.request.received_at + QUEUE_TIME_SHARE_OF_TARGET * routed.latency_target_s
        if action.may_have_run:
            # The request may have been executed and cannot be rejected any more: a longer wait is better than an error.
            wait_until = max(wait_until, self._shared.clock() + routed.latency_target_s)
        return SlotRequest(
            service=routed.service,
            route=routed.route.name,
            priority=routed.route.priority,
            latency_target_s=routed.latency_target_s,
            wait_until=min(routed.deadline, wait_until),
            sticky_key=routed.sticky_key,
            avoid_until=action.avoid_until,
        )

    def _call(self, slot: Slot) -> CallResult:
        routed = self._routed
        call = Call(
            request=routed.request,
            deadline=routed.deadline,
            is_idempotent=routed.is_idempotent,
            is_streaming=routed.route.is_stream,
            body=routed.turn.body if routed.turn else None,
            replaced_headers=(*self._priority_headers(), *self._resume_headers),
        )
        self._shared.metrics.attempts += 1
        self._call_started_at = self._shared.clock()
        result = self._shared.receiver_client.call(slot.receiver, call)
        now = self._shared.clock()
        if result.outcome not in OUTCOMES_WITHOUT_RESPONSE:
            slot.record_response()
        if result.load is not None:
            slot.record_report(result.load)
        if result.stream is None:
            self._record_result(slot, result, now, now - self._call_started_at)
        return result

    def _priority_headers(self) -> tuple[HeaderField, ...]:
        """Return the route's priority as a header field, unless the client has sent one itself."""
        if self._routed.request.headers.get(PRIORITY) is not None:
            return ()
        return (("Priority", str(min(self._routed.route.priority, LOWEST_PRIORITY))),)

    def _record_result(self, slot: Slot, result: CallResult, now: float, call_time_s: float) -> None:
        """Record the result of a call in the retry state machine and the balancer."""
        is_forwardable = result.response is not None and result.response.is_forwardable
        if is_forwardable:
            self._forwardable_response = result.response
        self._retry.record_call(slot.receiver.id, result.outcome, now, is_forwardable)
        if result.outcome is not Outcome.SUCCESS:
            log_failed_call(slot, result.outcome, call_time_s)
        if result.outcome is Outcome.SUCCESS:
            slot.record_success(call_time_s)
        elif result.outcome is Outcome.NOT_SENT:
            slot.back_off_unreachable()
        elif result.outcome is Outcome.NOT_EXECUTED:
            self._record_rejection(slot, result)
        else:
            record_failure(slot, result.outcome)

    def _record_rejection(self, slot: Slot, result: CallResult) -> None:
        if not result.is_misdirected:
            slot.back_off_full(result.retry_after_s)
        elif self._routed.request.headers.get("expect-version") is None:
            # Without an expected version, 421 means that another receiver now has this address.
            slot.back_off_unreachable()
        self._retry.record_expected_wait(self._shared.balancer.expected_wait_s(self._routed.service.name))

    def _relay(self, source: EventSource) -> EventRelay:
        return EventRelay(source, self._resume_stream, self._routed.turn, self._time_left_s, self._on_relay_closed)

    def _time_left_s(self) -> float:
        return self._routed.deadline - self._shared.clock()

    def _on_relay_closed(self, is_complete: bool) -> None:
        stream = self._open_stream
        if is_complete and stream is not None:
            stream.slot.record_success(self._shared.clock() - stream.started_at)
        self._release_stream()
        if not is_complete:
            self._shared.metrics.incomplete_streams += 1

    def _resume_stream(self, last_event_id: str | None, outcome: Outcome) -> EventSource | None:
        """Resume an interrupted stream at another receiver, after the last forwarded event, if the route allows it."""
        self._record_interrupted_stream(outcome, has_event=True)
        if not self._routed.is_idempotent:
            return None
        if last_event_id is not None:
            self._resume_headers = (("Last-Event-Id", last_event_id),)
        result = self._next_result()
        if isinstance(result, Response):
            return None
        self._shared.metrics.resumed_streams += 1
        return result.stream

    def _record_interrupted_stream(self, outcome: Outcome, has_event: bool) -> None:
        """Record that the open stream was interrupted, and release its slot; `has_event`: whether it had an event."""
        stream = self._open_stream
        if stream is not None:
            now = self._shared.clock()
            self._retry.record_call(stream.slot.receiver.id, outcome, now)
            log_failed_call(stream.slot, outcome, now - stream.started_at)
            record_failure(stream.slot, outcome, is_answered=has_event and not stream.source.has_stalled())
            self._release_stream()

    def _release_stream(self) -> None:
        stream, self._open_stream = self._open_stream, None
        if stream is not None:
            stream.slot.release()


def record_failure(slot: Slot, outcome: Outcome, is_answered: bool = False) -> None:
    """Record the outcome of a failed call, which was sent and not rejected, in the health of its receiver.

    is_answered: whether the receiver was still sending a response that takes long by itself.
    """
    if outcome in RECEIVER_ERRORS:
        slot.record_error()
    fault = FAULTS.get(outcome)
    if fault is not None and not (fault is ReceiverFault.UNANSWERED and is_answered):
        slot.record_fault(fault)


def log_failed_call(slot: Slot, outcome: Outcome, duration_s: float) -> None:
    """Log a call that did not end with a success."""
    log_event(
        Event.CALL_FAILED,
        receiver=slot.receiver.id,
        service=slot.service,
        outcome=outcome.value,
        duration_ms=round(duration_s * MS_PER_S),
    )


def response_to_client(response: ReceiverResponse, body: bytes | EventRelay) -> Response:
    """Convert a receiver's response into the response for the client, with end-to-end header fields only."""
    excluded = frozenset() if isinstance(body, bytes) else LENGTH_HEADERS
    return Response(response.status, Headers(response.headers).end_to_end(excluded), body, response.reason)
