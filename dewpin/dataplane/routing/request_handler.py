"""The way of a request into the sender: configuration, route, service, turn; its attempts do the rest."""

import random
import time
from collections.abc import Callable
from hashlib import blake2b

from dewpin.cluster.configuration import Configuration, Route, Service, Share
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.messages import AFFINITY, PROMPT_PREFIX, REQUEST_ID, Answer, Headers, Request, own_answer
from dewpin.dataplane.load_balancing.balancer import Balancer
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.metrics import RequestFigures
from dewpin.dataplane.programs.program_store import ProgramStore
from dewpin.dataplane.programs.turns import OpenTurn, plan_turn
from dewpin.dataplane.routing.request_attempts import RequestAttempts, RoutedRequest, Tools
from dewpin.dataplane.routing.request_time_limit import time_allowed_s
from dewpin.dataplane.upstream.calls import Upstream

NOT_READY_RETRY_AFTER_S = 0.5
STORE_RETRY_AFTER_S = 0.2
MAINTENANCE_PERIOD_S = 2.0


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
        self.figures = RequestFigures()
        self._state = cluster_state
        self._store = program_store
        self._clock = clock
        self._random = randomness or random.Random()
        self._upstream = Upstream(clock, self.figures)
        balancer = Balancer(cluster_state, zone, clock, self._random)
        self._tools = Tools(balancer, self._upstream, clock, pause, self._random, self.figures)
        self._maintained_at = clock()

    def handle(self, request: Request) -> Answer:
        """Return the answer to a request; a body in it that is not whole has to be closed by the caller."""
        self.figures.requests += 1
        self._maintain()
        try:
            return self._handle(request)
        except TierError as error:
            return self._answer_to_error(error)

    def close(self) -> None:
        """Close the idle connections to receivers."""
        self._upstream.close()

    def _handle(self, request: Request) -> Answer:
        configuration = self._state.configuration
        if configuration is None:
            raise TierError(ErrorKind.NO_CONFIGURATION)
        if not request.headers.get(REQUEST_ID):
            raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Id is missing")
        route = configuration.route_for(request.headers.get("host") or "", request.path)
        if route is None:
            if not self._state.is_current():
                raise TierError(ErrorKind.NO_CONFIGURATION, "no majority has confirmed the configuration held here")
            raise TierError(ErrorKind.NO_ROUTE)
        key = sticky_key(request) if route.sticky else None
        service = self._choose_service(configuration, route, key)
        deadline = request.received_at + time_allowed_s(request.headers, route)
        plan = plan_turn(request, route, service)
        if plan is None:
            return RequestAttempts(self._tools, RoutedRequest(request, route, service, deadline, key)).run()
        turn = OpenTurn(self._store, plan, request)
        return self._run_turn(turn, RoutedRequest(request, route, service, deadline, key, turn))

    def _run_turn(self, turn: OpenTurn, routed: RoutedRequest) -> Answer:
        turn.open(lambda: routed.deadline - self._clock(), self._state.is_cut_off())
        answer = None
        try:
            answer = RequestAttempts(self._tools, routed).run()
            return answer
        finally:
            if answer is None or isinstance(answer.body, bytes):
                turn.settle()

    def _choose_service(self, configuration: Configuration, route: Route, key: str | None) -> Service:
        """Return a service of the route by weight; requests of one session get the same one."""
        shares = [share for share in route.split if self._has_receivers(share)] or list(route.split)
        drawn = self._random.random() if key is None else share_of_key(key)
        mark = drawn * sum(share.weight for share in shares)
        chosen = shares[-1]
        for share in shares:
            mark -= share.weight
            if mark < 0:
                chosen = share
                break
        return configuration.services[chosen.backend]

    def _has_receivers(self, share: Share) -> bool:
        """Tell whether a part of a split has receivers that stay."""
        return any(not receiver.draining for receiver in self._state.receivers.get(share.backend, ()))

    def _answer_to_error(self, error: TierError) -> Answer:
        if error.kind is ErrorKind.NO_ROUTE:
            self.figures.not_routed += 1
        elif error.response.guarantees_not_run:
            self.figures.refused += 1
        else:
            self.figures.rejected += 1
        if error.kind is ErrorKind.STORE_UNAVAILABLE:
            return own_answer(error.kind, error.detail, self._jittered(STORE_RETRY_AFTER_S))
        if error.kind is ErrorKind.NO_CONFIGURATION:
            return own_answer(error.kind, error.detail, self._jittered(NOT_READY_RETRY_AFTER_S))
        return own_answer(error.kind, error.detail)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.75, 1.25)

    def _maintain(self) -> None:
        """Now and then, close connections that are of no use any more."""
        now = self._clock()
        if now - self._maintained_at >= MAINTENANCE_PERIOD_S:
            self._maintained_at = now
            receivers = self._state.receivers
            self._upstream.retain_only([receiver for group in receivers.values() for receiver in group])


def sticky_key(request: Request) -> str | None:
    """Return what the state that a receiver keeps hangs on.

    The cached part of a prompt hangs on the program, the session or the last shared part; what else a receiver has at
    hand, on the object that the request is about.
    """
    headers = request.headers
    prompt_prefix = headers.get(PROMPT_PREFIX)
    program = headers.get("program") or headers.get("session")
    if prompt_prefix is None:
        return affinity_of(headers) or program
    parts = prompt_prefix.split(",")
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return program or shared.partition(":")[0].strip() or None


def affinity_of(headers: Headers) -> str | None:
    """Return the object that a request is about, from the header or the first cookie of that name (RFC 6265, 4.2)."""
    named = (headers.get(AFFINITY) or "").strip()
    if named:
        return named
    for pair in "; ".join(headers.get_all("cookie")).split(";"):
        name, _, value = pair.partition("=")
        value = value.strip().strip('"')
        if name.strip().lower() == AFFINITY and value:
            return value
    return None


def share_of_key(key: str) -> float:
    """Return a number from 0 to below 1 that hangs on the key alone."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") / 2**32
