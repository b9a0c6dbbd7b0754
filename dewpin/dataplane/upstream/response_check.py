"""Validates a receiver's response: checks that it belongs to the request, and classifies its outcome."""

from http import HTTPStatus

from urllib3 import HTTPResponse

from dewpin.dataplane.http11.messages import NOT_EXECUTED, REQUEST_ID, Request
from dewpin.dataplane.upstream.call import ReceiverResponse
from dewpin.dataplane.upstream.outcome import Outcome


def is_response_to(response: HTTPResponse, request: Request, is_first_on_connection: bool) -> bool:
    """Return whether a response belongs to a request and has a form that may be forwarded.

    A rejection without a request id is accepted only as the first response on its connection; otherwise it may be a
    late response to an earlier request.
    """
    if "content-encoding" in response.headers or response.status < HTTPStatus.OK:
        return False
    response_id = response.headers.get(REQUEST_ID)
    if response_id is None:
        return is_first_on_connection and is_rejection(response)
    return response_id == request.headers.get(REQUEST_ID)


def is_rejection(response: HTTPResponse) -> bool:
    """Return whether a response proves that the receiver did not execute the request."""
    return response.status == HTTPStatus.MISDIRECTED_REQUEST or NOT_EXECUTED in response.headers


def classify_response(response: HTTPResponse, received: ReceiverResponse) -> Outcome:
    """Return the outcome of a call with a complete response."""
    if is_rejection(response):
        return Outcome.NOT_EXECUTED
    if received.status >= HTTPStatus.INTERNAL_SERVER_ERROR or not received.is_forwardable:
        return Outcome.ERROR
    return Outcome.SUCCESS
