"""Handles a client's request: selects route and service, opens the conversation turn and starts the attempts."""

import random
import time
from collections.abc import Callable

from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.messages import REQUEST_ID, Request, Response, error_response
from dewpin.dataplane.load_balancing.balancer import Balancer
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.metrics import RequestMetrics
from dewpin.dataplane.programs.program_store import ProgramStore
from dewpin.dataplane.programs.turns import OpenTurn, plan_turn
from dewpin.dataplane.routing.affinity import sticky_key
from dewpin.dataplane.routing.request_attempts import RequestAttempts, RoutedRequest, SharedComponents
from dewpin.dataplane.routing.request_timeout import request_timeout_s
from dewpin.dataplane.routing.service_choice import choose_service
from dewpin.dataplane.upstream.receiver_client import ReceiverClient
from dewpin.dataplane.upstream.response_limits import DEFAULT_RECEIVER_BYTES

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
STORE_UNAVAILABLE_RETRY_AFTER_S = 0.2
NO_MEMORY_RETRY_AFTER_S = 0.5
RETRY_AFTER_JITTER = 0.25
"""Relative jitter of `Retry-After`."""
MAINTENANCE_PERIOD_S = 2.0


class RequestHandler:
    """Handles the requests of clients; `handle` is called concurrently by many threads.

    `metrics` counts requests by their result.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        program_store: ProgramStore,
        zone: str,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        randomness: random.Random | None = None,
        max_receiver_bytes: int = DEFAULT_RECEIVER_BYTES,
    ) -> None:
        """Create a handler; `max_receiver_bytes` limits what incomplete responses of one receiver hold together."""
        self.metrics = RequestMetrics()
        self._state = cluster_state
        self._store = program_store
        self._clock = clock
        self._random = randomness or random.Random()
        self._receiver_client = ReceiverClient(clock, self.metrics, max_receiver_bytes)
        balancer = Balancer(cluster_state, zone, clock, self._random)
        self._shared = SharedComponents(balancer, self._receiver_client, clock, sleep, self._random, self.metrics)
        self._last_maintenance_at = clock()

    def handle(self, request: Request) -> Response:
        """Return the response to a request; the caller must close a streamed body."""
        self.metrics.requests += 1
        self._maintain_connections()
        try:
            return self._handle(request)
        except TierError as error:
            return self._response_to_error(error)

    def close(self) -> None:
        """Close the idle connections to receivers."""
        self._receiver_client.close()

    def _handle(self, request: Request) -> Response:
        configuration = self._state.configuration
        if configuration is None:
            raise TierError(ErrorKind.NO_CONFIGURATION)
        if not request.headers.get(REQUEST_ID):
            raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Id is missing")
        route = configuration.route_for(request.headers.get("host") or "", request.path)
        if route is None:
            raise self._no_route_error()
        key = sticky_key(request) if route.sticky else None
        service = choose_service(configuration, route, self._state.receivers, key, self._random)
        deadline = request.received_at + request_timeout_s(request.headers, route)
        plan = plan_turn(request, route, service)
        if plan is None:
            return RequestAttempts(self._shared, RoutedRequest(request, route, service, deadline, key)).run()
        turn = OpenTurn(self._store, plan, request)
        return self._run_turn(turn, RoutedRequest(request, route, service, deadline, key, turn))

    def _no_route_error(self) -> TierError:
        """Return the error for a request without a matching route; NO_ROUTE only if the configuration is confirmed."""
        if not self._state.is_current():
            return TierError(ErrorKind.NO_CONFIGURATION, "no majority has confirmed the configuration held here")
        return TierError(ErrorKind.NO_ROUTE)

    def _run_turn(self, turn: OpenTurn, routed: RoutedRequest) -> Response:
        """Open the turn and execute its request; the turn is settled here unless a streamed body does so on close."""
        turn.begin(lambda: routed.deadline - self._clock(), self._state.is_cut_off())
        response = None
        try:
            response = RequestAttempts(self._shared, routed).run()
            return response
        finally:
            if response is None or isinstance(response.body, bytes):
                turn.settle()

    def _response_to_error(self, error: TierError) -> Response:
        if error.kind is ErrorKind.NO_ROUTE:
            self.metrics.not_routed += 1
        elif error.response.guarantees_not_run:
            self.metrics.not_executed += 1
        else:
            self.metrics.invalid += 1
        if error.kind is ErrorKind.STORE_UNAVAILABLE:
            return error_response(error.kind, error.detail, self._jittered(STORE_UNAVAILABLE_RETRY_AFTER_S))
        if error.kind is ErrorKind.OVERLOADED:
            return error_response(error.kind, error.detail, self._jittered(NO_MEMORY_RETRY_AFTER_S))
        if error.kind is ErrorKind.NO_CONFIGURATION:
            return error_response(error.kind, error.detail, self._jittered(NO_CONFIGURATION_RETRY_AFTER_S))
        return error_response(error.kind, error.detail)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER)

    def _maintain_connections(self) -> None:
        """Close expired connections and those to removed receivers, at most once per `MAINTENANCE_PERIOD_S`."""
        now = self._clock()
        if now - self._last_maintenance_at >= MAINTENANCE_PERIOD_S:
            self._last_maintenance_at = now
            receivers = self._state.receivers
            self._receiver_client.retain_only([receiver for group in receivers.values() for receiver in group])
