"""The way of a request through the sender: route, turn, place, call, retry, answer."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, fields
from hashlib import blake2b

from dewpin.cluster.configuration import Configuration, Route, Service
from dewpin.cluster.errors import ErrorKind, TierError

from .balancing import Balancer, NoPlace, Place, PlaceRequest
from .cluster_state import ClusterState
from .messages import (
    CONNECTION_HEADERS,
    PROMPT_PREFIX,
    REQUEST_DEADLINE,
    REQUEST_ID,
    Answer,
    HeaderField,
    Request,
    own_answer,
)
from .outcome import Outcome
from .program_store import ProgramStore
from .retry import GATEWAY_TIMED_OUT, EndUnknown, PassOn, Pause, Refuse, RetryPolicy, RetryStage, Send
from .streams import EventRelay, EventSource
from .turns import OpenTurn, plan_turn
from .upstream import Call, CallResult, ReceiverAnswer, StreamCut, Upstream

HOLD_SHARE_OF_AIM = 0.2
"""A request waits for a place for this share of its latency objective at most."""
NOT_READY_RETRY_AFTER_S = 0.5
STORE_RETRY_AFTER_S = 0.2
MAINTENANCE_PERIOD_S = 2.0
LAST_EVENT_ID = "last-event-id"
_LENGTH = frozenset({"content-length"})


@dataclass(slots=True)
class RequestFigures:
    """Counters since the start of the process; they are read without a lock and may lag behind by a request."""

    requests: int = 0
    passed_on: int = 0
    refused: int = 0
    unknown: int = 0
    not_routed: int = 0
    attempts: int = 0
    repeats: int = 0
    resumed_streams: int = 0
    broken_streams: int = 0

    def as_mapping(self) -> dict[str, int]:
        """Return the counters by name."""
        return {each.name: getattr(self, each.name) for each in fields(self)}


class RequestPath:
    """Handles the requests of clients; `handle` is called from many threads at once."""

    def __init__(
        self,
        cluster_state: ClusterState,
        program_store: ProgramStore,
        zone: str,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
        randomness: random.Random | None = None,
    ) -> None:
        self._state = cluster_state
        self._store = program_store
        self._clock = clock
        self._pause = pause
        self._random = randomness or random.Random()
        self._balancer = Balancer(cluster_state, zone, clock, self._random)
        self._upstream = Upstream(clock)
        self._maintained_at = clock()
        self.figures = RequestFigures()

    def handle(self, request: Request) -> Answer:
        """Return the answer to a request; a stream in it must be closed by the caller."""
        self.figures.requests += 1
        self._maintain()
        configuration = self._state.configuration
        if configuration is None:
            return self._refused(ErrorKind.NO_CONFIGURATION, NOT_READY_RETRY_AFTER_S)
        if not request.headers.get(REQUEST_ID):
            return own_answer(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Id is missing")
        route = configuration.route_for(request.headers.get("host") or "", request.path)
        if route is None:
            self.figures.not_routed += 1
            return own_answer(ErrorKind.NO_ROUTE)
        try:
            return self._handle_routed(request, configuration, route)
        except TierError as error:
            return self._answer_to_error(error)

    def close(self) -> None:
        """Close the idle connections to receivers."""
        self._upstream.close()

    def _handle_routed(self, request: Request, configuration: Configuration, route: Route) -> Answer:
        service = self._choose_service(request, configuration, route)
        deadline = request.received_at + time_allowed_s(request, route)
        plan = plan_turn(request, route, service)
        turn = OpenTurn(self._store, plan, request) if plan else None
        if turn is not None:
            turn.open(deadline - self._clock())
        handed_over = False
        try:
            course = _Course(self, request, route, service, deadline, turn)
            answer = course.run()
            handed_over = not isinstance(answer.body, bytes)
            return answer
        finally:
            if turn is not None and not handed_over:
                turn.settle()

    def _choose_service(self, request: Request, configuration: Configuration, route: Route) -> Service:
        """Return a service of the route by weight; requests of one session get the same one."""
        shares = [share for share in route.split if self._state.receivers.get(share.backend)] or list(route.split)
        if len(shares) == 1:
            return configuration.services[shares[0].backend]
        key = sticky_key(request) if route.sticky else None
        drawn = self._random.random() if key is None else share_of_key(key)
        mark = drawn * sum(share.weight for share in shares)
        for share in shares:
            mark -= share.weight
            if mark < 0:
                break
        return configuration.services[share.backend]

    def _answer_to_error(self, error: TierError) -> Answer:
        if error.kind is ErrorKind.STORE_UNAVAILABLE:
            return self._refused(error.kind, STORE_RETRY_AFTER_S, error.detail)
        return own_answer(error.kind, error.detail)

    def _refused(self, kind: ErrorKind, retry_after_s: float, detail: str = "") -> Answer:
        self.figures.refused += 1
        return own_answer(kind, detail, retry_after_s)

    def _maintain(self) -> None:
        """Now and then, close connections that are of no use any more."""
        now = self._clock()
        if now - self._maintained_at >= MAINTENANCE_PERIOD_S:
            self._maintained_at = now
            receivers = self._state.receivers
            self._upstream.retain_only([receiver for group in receivers.values() for receiver in group])


class _Course:
    """The course of one routed request: it carries out what the retry stage says."""

    def __init__(
        self,
        owner: RequestPath,
        request: Request,
        route: Route,
        service: Service,
        deadline: float,
        turn: OpenTurn | None,
    ) -> None:
        self._owner = owner
        self._request = request
        self._route = route
        self._service = service
        self._deadline = deadline
        self._turn = turn
        self._repeatable = route.may_repeat or (route.is_stream and route.resumable)
        aim_s = min(route.target_ms, route.timeout_ms) / 1000
        self._hold_until = request.received_at + HOLD_SHARE_OF_AIM * aim_s
        policy = RetryPolicy(self._repeatable, max(1, route.retries), aim_s)
        self._stage = RetryStage(policy, deadline, owner._random)
        self._key = sticky_key(request) if route.sticky else None
        self._answer: ReceiverAnswer | None = None
        self._place: Place | None = None
        self._replaced: tuple[HeaderField, ...] = ()

    def run(self) -> Answer:
        """Return the answer to the client."""
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
            self._owner.figures.passed_on += 1
            return client_answer(result.answer, relay)

    def _next_result(self) -> CallResult | Answer:
        """Carry out steps until a stream begins or the request ends."""
        while True:
            step = self._stage.next_step(self._owner._clock())
            if isinstance(step, Send):
                result = self._send(step)
                if result is not None and result.stream is not None:
                    return result
            elif isinstance(step, Pause):
                self._owner._pause(max(0.0, step.until - self._owner._clock()))
            else:
                return self._end(step)

    def _end(self, step: PassOn | Refuse | EndUnknown) -> Answer:
        figures = self._owner.figures
        if isinstance(step, PassOn) and self._answer is not None:
            figures.passed_on += 1
            return client_answer(self._answer, self._answer.body)
        if isinstance(step, Refuse):
            return self._owner._refused(ErrorKind.OVERLOADED, step.retry_after_s)
        figures.unknown += 1
        timed_out = isinstance(step, EndUnknown) and step.status == GATEWAY_TIMED_OUT
        return own_answer(ErrorKind.DEADLINE_PASSED if timed_out else ErrorKind.RECEIVER_FAILED)

    def _send(self, step: Send) -> CallResult | None:
        place = self._owner._balancer.acquire(
            PlaceRequest(self._service, self._route.name, self._route.priority, self._hold_until, self._key, step.avoid)
        )
        if isinstance(place, NoPlace):
            self._stage.record_no_place(place.retry_after_s)
            return None
        self._owner.figures.attempts += 1
        body = self._turn.body if self._turn else None
        call = Call(self._request, self._deadline, self._repeatable, self._route.is_stream, body, self._replaced)
        started = self._owner._clock()
        try:
            result = self._owner._upstream.call(place.receiver, call)
            self._count(place, result, self._owner._clock() - started)
        except BaseException:
            place.release()
            raise
        if result.stream is not None:
            self._place = place
        else:
            place.release()
        return result

    def _count(self, place: Place, result: CallResult, took_s: float) -> None:
        """Tell the retry stage and the balancer how a call ended."""
        signed = result.answer is not None and result.answer.signed
        if signed and not result.outcome.proves_no_effect:
            self._answer = result.answer
        if result.load is not None:
            place.heard(result.load)
        if result.stream is not None:
            return
        now = self._owner._clock()
        self._stage.record_call(place.receiver.id, result.outcome, now, signed)
        if result.outcome is Outcome.SUCCESS:
            place.was_served(took_s)
        elif result.outcome is Outcome.NEVER_SENT or (result.misdirected and not self._expects_version):
            place.has_failed()
        elif result.outcome is Outcome.NOT_EXECUTED and not result.misdirected:
            place.was_refused(result.told_wait_s)
            self._stage.expect_wait(self._owner._balancer.expected_wait(self._service.name))

    @property
    def _expects_version(self) -> bool:
        return self._request.headers.get("expect-version") is not None

    def _relay(self, source: EventSource) -> EventRelay:
        def on_close(whole: bool) -> None:
            self._release_place()
            if not whole:
                self._owner.figures.broken_streams += 1

        resume = self._resume if self._repeatable else None
        return EventRelay(source, resume, self._turn, lambda: self._deadline - self._owner._clock(), on_close)

    def _resume(self, last_id: str | None, cut: Outcome) -> EventSource | None:
        """Pick a cut stream up at another receiver, from the last event that was passed on."""
        self._count_cut(cut)
        if last_id is not None:
            self._replaced = (("Last-Event-Id", last_id),)
        result = self._next_result()
        if isinstance(result, Answer):
            return None
        self._owner.figures.resumed_streams += 1
        return result.stream

    def _count_cut(self, cut: Outcome) -> None:
        """Tell the retry stage that the stream under way was cut, and give its place back."""
        if self._place is not None:
            self._stage.record_call(self._place.receiver.id, cut, self._owner._clock())
            self._release_place()

    def _release_place(self) -> None:
        if self._place is not None:
            self._place.release()
            self._place = None


def client_answer(answer: ReceiverAnswer, body: bytes | EventRelay) -> Answer:
    """Return a receiver's answer as it goes to the client."""
    headers = [field for field in answer.headers if field[0].lower() not in CONNECTION_HEADERS]
    if not isinstance(body, bytes):
        headers = [field for field in headers if field[0].lower() not in _LENGTH]
    return Answer(answer.status, headers, body, answer.reason)


def time_allowed_s(request: Request, route: Route) -> float:
    """Return how long a request may be held: the client's time, or the route's time-out if that is less."""
    told = request.headers.get(REQUEST_DEADLINE)
    try:
        told_ms = float(told) if told is not None else route.timeout_ms
    except ValueError:
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Deadline has to be a number") from None
    if not 0 <= told_ms < float("inf"):
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Deadline has to be a number")
    return min(told_ms, route.timeout_ms) / 1000


def sticky_key(request: Request) -> str | None:
    """Return what the cached part of a prompt hangs on: the program, the session or the last shared part."""
    key = request.headers.get("program") or request.headers.get("session")
    if key is not None:
        return key
    parts = (request.headers.get(PROMPT_PREFIX) or "").split(",")
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return shared.partition(":")[0].strip() or None


def share_of_key(key: str) -> float:
    """Return a number from 0 to below 1 that hangs on the key alone."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") / 2**32
