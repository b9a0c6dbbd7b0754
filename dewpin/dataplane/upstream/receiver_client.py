"""The HTTP client for receivers: sends a request, receives the response and classifies how the call ended.

HTTP is implemented by urllib3, without its retries, redirects and content decoding. Method, target and body are sent
as received from the client. A response is accepted only if it carries the id of the request that was sent in this call.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import replace
from http import HTTPStatus

from urllib3 import HTTPResponse

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.http11.messages import REQUEST_ID, SERVER_LOAD, SIGNATURE
from dewpin.dataplane.load_balancing.receiver_load import parse_server_load
from dewpin.dataplane.metrics import RequestMetrics
from dewpin.dataplane.upstream.call import Call, CallResult, ReceiverResponse
from dewpin.dataplane.upstream.connection_pool import ConnectionPool, parse_seconds
from dewpin.dataplane.upstream.idle_limit import IdleLimit
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.receiver_socket import RequestNotSentError
from dewpin.dataplane.upstream.request_headers import request_headers
from dewpin.dataplane.upstream.response_body import framing_of
from dewpin.dataplane.upstream.response_check import classify_response, is_rejection, is_response_to
from dewpin.dataplane.upstream.response_limits import DEFAULT_RECEIVER_BYTES
from dewpin.dataplane.upstream.response_stream import TRANSPORT_ERRORS, ResponseStream, outcome_of_error

CONNECT_SHARE_OF_TIME_LEFT = 0.25
"""Maximum share of the time left for a connect, so that time remains to try another receiver."""
MIN_CONNECT_TIMEOUT_S = 0.001


class ReceiverClient:
    """Makes calls to receivers; thread-safe.

    There is one connection pool per receiver id and address: a receiver that takes over the address of another one
    gets connections of its own.
    """

    def __init__(
        self, clock: Callable[[], float], metrics: RequestMetrics, max_receiver_bytes: int = DEFAULT_RECEIVER_BYTES
    ) -> None:
        """Create a client; `max_receiver_bytes` limits what incomplete responses of one receiver hold together."""
        self._clock = clock
        self._max_receiver_bytes = max_receiver_bytes
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pools: dict[tuple[str, str], ConnectionPool] = {}
        self._idle_limits: dict[str, IdleLimit] = {}

    def call(self, receiver: Receiver, call: Call) -> CallResult:
        """Send a request to a receiver and return the result; failures of the receiver do not raise.

        If a reused connection turns out to be closed, the call is repeated on a new connection, provided that nothing
        was sent, or that the connection was stale and the request is idempotent. The call is aborted as soon as its
        `watched_client` disconnects.
        """
        if call.has_client_disconnected:
            return CallResult(Outcome.CLIENT_DISCONNECTED)
        pool = self._pool_of(receiver)
        connection = pool.acquire_idle(call.is_idempotent, call.request_id)
        if connection is None:
            return self._call_on_new_connection(receiver, pool, call)
        result = self._call_on(receiver, pool, connection, call)
        was_stale = pool.detect_stale(connection, result.outcome)
        if result.outcome is Outcome.NOT_SENT:
            return self._call_on_new_connection(receiver, pool, call)
        if not was_stale or not call.is_idempotent:
            return result
        second_result = self._call_on_new_connection(receiver, pool, call)
        if second_result.outcome.proves_no_effect:
            # The request may have been executed by the first call.
            return replace(second_result, outcome=result.outcome)
        return second_result

    def retain_only(self, receivers: Sequence[Receiver]) -> None:
        """Close the idle connections to receivers that are not in `receivers`, and expired connections."""
        listed = {(receiver.id, receiver.address) for receiver in receivers}
        with self._lock:
            removed = [self._pools.pop(key) for key in list(self._pools) if key not in listed]
            retained = list(self._pools.values())
        for pool in removed:
            pool.close()
        for pool in retained:
            pool.close_expired()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain_only(())

    def _pool_of(self, receiver: Receiver) -> ConnectionPool:
        key = (receiver.id, receiver.address)
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                idle_limit = self._idle_limits.setdefault(receiver.backend, IdleLimit())
                pool = self._pools[key] = ConnectionPool(receiver, self._clock, idle_limit, self._max_receiver_bytes)
            return pool

    def _call_on_new_connection(self, receiver: Receiver, pool: ConnectionPool, call: Call) -> CallResult:
        connection = self._connect(pool, call)
        if connection is None:
            return CallResult(Outcome.NOT_SENT)
        if call.has_client_disconnected:
            connection.close()
            return CallResult(Outcome.CLIENT_DISCONNECTED)
        if call.deadline <= self._clock():
            connection.close()
            return CallResult(Outcome.NOT_SENT)
        return self._call_on(receiver, pool, connection, call)

    def _connect(self, pool: ConnectionPool, call: Call) -> ReceiverConnection | None:
        self._metrics.connects += 1
        timeout_s = CONNECT_SHARE_OF_TIME_LEFT * (call.deadline - self._clock())
        try:
            return pool.connect(max(MIN_CONNECT_TIMEOUT_S, timeout_s))
        except OSError:
            return None

    def _call_on(
        self, receiver: Receiver, pool: ConnectionPool, connection: ReceiverConnection, call: Call
    ) -> CallResult:
        """Make a call on a connection; close the connection if the call fails."""
        try:
            return self._exchange(receiver, pool, connection, call)
        except RequestNotSentError:
            outcome = Outcome.NOT_SENT
        except IncompleteResponseError as error:
            outcome = error.outcome
        except TRANSPORT_ERRORS as error:
            outcome = outcome_of_error(error)
        except BaseException:
            connection.close()
            raise
        connection.close()
        return CallResult(outcome)

    def _exchange(
        self, receiver: Receiver, pool: ConnectionPool, connection: ReceiverConnection, call: Call
    ) -> CallResult:
        """Send the request and receive the response, or its head if a stream follows.

        Raises RequestNotSentError, IncompleteResponseError and TRANSPORT_ERRORS.
        """
        connection.begin_call(call.request_id, call.deadline, call.watched_client, call.request.memory)
        self._send(receiver, connection, call)
        response = connection.getresponse()
        if not is_response_to(response, call.request, connection.is_first_call):
            if is_rejection(response) and REQUEST_ID not in response.headers:
                self._metrics.rejections_without_id += 1
            raise IncompleteResponseError(Outcome.MALFORMED)
        framing = framing_of(call.request.method, response.status, response.headers.getlist)
        stream = ResponseStream(connection, response, framing, pool.release)
        return self._result(call, response, stream)

    def _result(self, call: Call, response: HTTPResponse, stream: ResponseStream) -> CallResult:
        """Return the result of a call whose response head has been received."""
        received = ReceiverResponse(
            response.status, response.reason or "", tuple(response.headers.items()), SIGNATURE in response.headers
        )
        load = parse_server_load(response.headers.get(SERVER_LOAD))
        is_success = received.status == HTTPStatus.OK and received.is_signed and not is_rejection(response)
        if call.is_streaming and is_success:
            return CallResult(Outcome.SUCCESS, received, stream, load)
        body = stream.read_all()
        return CallResult(
            outcome=classify_response(response, received),
            response=replace(received, body=body),
            load=load,
            retry_after_s=parse_seconds(response.headers.get("retry-after")),
            is_misdirected=response.status == HTTPStatus.MISDIRECTED_REQUEST,
        )

    def _send(self, receiver: Receiver, connection: ReceiverConnection, call: Call) -> None:
        request = call.request
        body = request.body if call.body is None else call.body
        connection.request(
            request.method,
            request.target,
            body=body or None,
            headers=request_headers(call, receiver.id, len(body), call.deadline - self._clock()),
            preload_content=False,
            decode_content=False,
        )
