"""Pages of configuration bodies: their sizes on the wire, and requests that wait for a page."""

import asyncio
import json

import pytest
from scripted.clock import run

from dewpin.cluster import netstring
from dewpin.cluster.body_messages import RELAY_BODY, BodyPage, BodyRequest
from dewpin.cluster.body_pages import PAGE_WAIT_S, RELAY_PAGE_BYTES, BodyPageService, KnownBody, fits_page
from dewpin.cluster.rpc import RpcError

FRAME_BYTES = 200


def request(offset, caller="a"):
    return BodyRequest(RELAY_BODY, "d", offset, caller).encode()


def service(bodies):
    return BodyPageService(lambda digest: bodies.get(digest), lambda: asyncio.get_running_loop().time())


@pytest.mark.parametrize("text", ["x" * 300_000, '"\\' * 90_000, "é" * 200_000, "x" * 80_000 + "😀" * 30_000])
def test_pages_are_bounded_on_the_wire_and_join_to_the_body(text):
    async def scenario():
        pages, received = service({"d": KnownBody(text, len(text))}), ""
        while len(received) < len(text):
            reply = await pages.handle(request(len(received)))
            assert len(netstring.encode(reply)) <= RELAY_PAGE_BYTES + FRAME_BYTES
            page = BodyPage.decode(reply)
            assert page.part
            assert page.length == len(text)
            received += page.part
        assert received == text

    run(scenario())


@pytest.mark.parametrize("character", ["x", "é", "😀", '"'])
def test_body_that_fits_a_page_is_within_the_page_size_on_the_wire(character):
    wire_bytes = len(json.dumps(character)) - len(json.dumps(""))
    max_characters = RELAY_PAGE_BYTES // wire_bytes
    assert fits_page(character * max_characters)
    assert not fits_page(character * (max_characters + 1))


def test_request_waits_for_page_that_arrives_in_time():
    async def scenario():
        bodies = {"d": KnownBody("x" * 10, 20)}
        pages = service(bodies)
        pending = asyncio.ensure_future(pages.handle(request(10)))
        await asyncio.sleep(PAGE_WAIT_S / 2)
        bodies["d"] = KnownBody("x" * 20, 20)
        pages.announce()
        assert BodyPage.decode(await pending) == BodyPage("x" * 10, 20)

    run(scenario())


def test_request_fails_if_its_page_does_not_arrive_in_time():
    async def scenario():
        pages = service({})
        started_s = asyncio.get_running_loop().time()
        pending = asyncio.ensure_future(pages.handle(request(0)))
        while not pending.done():
            pages.announce()
            await asyncio.sleep(PAGE_WAIT_S / 4)
        with pytest.raises(RpcError):
            pending.result()
        assert asyncio.get_running_loop().time() - started_s < 2 * PAGE_WAIT_S

    run(scenario())
