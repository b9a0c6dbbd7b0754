"""Pages of configurations' bodies: their sizes on the wire, and waiting for one that is on its way."""

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


def service(known):
    return BodyPageService(lambda digest: known.get(digest), lambda: asyncio.get_running_loop().time())


@pytest.mark.parametrize("text", ["x" * 300_000, '"\\' * 90_000, "é" * 200_000, "x" * 80_000 + "😀" * 30_000])
def test_pages_are_bounded_on_the_wire_and_join_to_the_body(text):
    async def scene():
        pages, received = service({"d": KnownBody(text, len(text))}), ""
        while len(received) < len(text):
            answer = await pages.handle(request(len(received)))
            assert len(netstring.encode(answer)) <= RELAY_PAGE_BYTES + FRAME_BYTES
            page = BodyPage.decode(answer)
            assert page.part
            assert page.length == len(text)
            received += page.part
        assert received == text

    run(scene())


@pytest.mark.parametrize("character", ["x", "é", "😀", '"'])
def test_body_that_fits_a_page_is_within_the_page_size_on_the_wire(character):
    wire_bytes = len(json.dumps(character)) - len(json.dumps(""))
    most = RELAY_PAGE_BYTES // wire_bytes
    assert fits_page(character * most)
    assert not fits_page(character * (most + 1))


def test_request_waits_for_page_that_arrives_in_time():
    async def scene():
        known = {"d": KnownBody("x" * 10, 20)}
        pages = service(known)
        asked = asyncio.ensure_future(pages.handle(request(10)))
        await asyncio.sleep(PAGE_WAIT_S / 2)
        known["d"] = KnownBody("x" * 20, 20)
        pages.announce()
        assert BodyPage.decode(await asked) == BodyPage("x" * 10, 20)

    run(scene())


def test_request_fails_if_its_page_does_not_arrive_in_time():
    async def scene():
        pages = service({})
        began_s = asyncio.get_running_loop().time()
        asked = asyncio.ensure_future(pages.handle(request(0)))
        while not asked.done():
            pages.announce()
            await asyncio.sleep(PAGE_WAIT_S / 4)
        with pytest.raises(RpcError):
            asked.result()
        assert asyncio.get_running_loop().time() - began_s < 2 * PAGE_WAIT_S

    run(scene())
