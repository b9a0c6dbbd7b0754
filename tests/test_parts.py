"""The sender's parts by themselves: the journal, cut off anywhere, and the reader, fed in any pieces."""
import asyncio
import gc
import os
import random
import socket
import weakref

import pytest

from dewpin import model
from dewpin.facade import Facade
from dewpin.net.http import Malformed, Reader, answer
from dewpin.net.outbound import Pool
from dewpin.relay import Relay
from dewpin.spool import Sheet, Spool
from driver import Outside, settings, until

SIZE = 24000.0


def sheet(dice, number):
    tag, body = dice.randbytes(dice.randrange(40)), dice.randbytes(dice.choice((0, 30, 1500)))
    return Sheet(b"m%d" % number, b"notice", b"acme", b"k" * dice.randrange(3), b"7", tag, body, float(number), 1e12)


def facts(sheets, out_ran):
    """What must survive, by id, in the order of taking; a connect that is out at the end may have run."""
    kept = []
    for one in sheets.values():
        ran_at, ran_to = one.ran_at, one.ran_to
        if out_ran and one.out and ran_at is None:
            ran_to, ran_at = one.out
        kept.append((one.ident, one.tag, one.body, one.arrived, one.expires, one.tries, ran_at, ran_to, one.ending))
    return kept


def step(dice, spool, number):
    """One thing that a sender writes down."""
    held = [one for one in spool.sheets.values() if not one.ending]
    one = dice.choice(held) if held else None
    what = dice.random()
    if one is None or what < 0.25:
        return spool.take(sheet(dice, number))
    if one.out and what < 0.6:
        spool.settle(one, dice.random() < 0.5)
    elif one.out is None and what < 0.6:
        spool.connect(one, b"r%d" % dice.randrange(3), float(number))
    elif one.out is None and what < 0.75:
        spool.give_up(one, dice.random() < 0.5, float(number))
    elif what < 0.9:
        spool.end(dice.choice(list(spool.sheets.values())))
    else:
        spool.compact()


def on_disk(folder):
    return sum(-(-os.path.getsize(os.path.join(folder, name)) // 512) * 512 for name in os.listdir(folder))


@pytest.mark.parametrize("seed", range(12))
def test_the_journal_cut_off_anywhere_holds_what_was_written(tmp_path, seed):
    dice, spool, refused = random.Random(seed), Spool(tmp_path, SIZE), 0
    for number in range(300):
        before, size, file = facts(spool.sheets, True), spool.size, os.stat(tmp_path / "journal").st_ino
        refused += step(dice, spool, number) is False
        assert on_disk(tmp_path) <= SIZE - spool.live       # room for a second copy at any moment
        now = facts(spool.sheets, True)
        content = (tmp_path / "journal").read_bytes()
        assert len(content) == spool.size
        other = tmp_path.parent / f"{tmp_path.name}-killed"
        if file != os.stat(tmp_path / "journal").st_ino:
            size = len(content)     # written anew in one step: there is no half of that
        for cut in {len(content), dice.randint(size, len(content))}:
            other.mkdir(exist_ok=True)
            (other / "journal").write_bytes(content[:cut])
            (other / "journal.new").write_bytes(content[:dice.randrange(50)])   # a compaction that did not end
            again = Spool(other, SIZE)
            assert facts(again.sheets, False) == (now if cut == len(content) else before)
            late = sheet(dice, 10 ** 6)         # what is written behind a cut is read again
            if again.take(late):
                again.close()
                again = Spool(other, SIZE)
                assert [*again.sheets.values()][-1].ident == late.ident
            again.close()
    assert refused and spool.serial > 20
    spool.close()


def test_a_full_folder_refuses_before_it_takes_on_and_takes_on_again_later(tmp_path):
    dice, spool, taken = random.Random(1), Spool(tmp_path, 100000.0), []
    while spool.take(one := sheet(dice, len(taken))):
        taken.append(one)
    assert 5 < len(taken)
    for one in taken:               # all that may follow still has its place
        for at in range(30):
            assert spool.connect(one, b"receiver", float(at))
            spool.settle(one, False)
            assert on_disk(tmp_path) + spool.live <= 100000.0
        spool.give_up(one, True, 100.0)
    for one in taken:
        spool.end(one)
    assert spool.take(sheet(dice, 1)) and spool.live < 10000
    spool.close()


def requests(dice):
    raw, bodies = b"", []
    for _ in range(dice.randrange(1, 5)):
        body = dice.randbytes(dice.choice((0, 1, 10, 5000)))
        bodies.append(body)
        if dice.random() < 0.5:
            raw += b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            continue
        raw += b"\r\nPOST /api HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
        while body:
            size = dice.randint(1, len(body))
            raw, body = raw + b"%X;note=1\r\n" % size + body[:size] + b"\r\n", body[size:]
        raw += b"0\r\n" + b"Trailer: x\r\n" * dice.randrange(2) + b"\r\n"
    return raw, bodies


@pytest.mark.parametrize("seed", range(30))
def test_messages_are_the_same_in_whatever_pieces_they_come(seed):
    dice = random.Random(seed)
    raw, bodies = requests(dice)
    reader, got = Reader(), []
    while raw:
        size = dice.choice((1, 2, 7, 1000))
        reader.feed(raw[:size])
        raw = raw[size:]
        while message := reader.take():
            got.append(message.body)
    assert got == bodies and not reader.held


@pytest.mark.parametrize("seed", range(30))
def test_noise_is_refused_or_waited_out_and_held_in_bounds(seed):
    dice = random.Random(seed)
    raw = bytearray(requests(dice)[0])
    for _ in range(dice.randrange(1, 20)):
        raw[dice.randrange(len(raw))] = dice.choice(b"\r\n\x00: 0aZ")
    reader = Reader(answers=dice.random() < 0.3, most_body=8000)
    try:
        for at in range(0, len(raw), 100):
            reader.feed(raw[at:at + 100])
            while reader.take():
                pass
            assert len(reader.held) < 8000 + 16384 + 100
    except Malformed as fault:
        assert 400 <= fault.status < 600


def test_an_answer_lasts_as_its_head_says():
    reader = Reader(answers=True)
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, body=b"abc") + b"HTTP/1.1 204 No\r\n\r\n")
    assert reader.take().body == b"abc" and reader.take().status == 204
    reader.feed(b"HTTP/1.1 200\r\n\r\nto the end")
    assert reader.take() is None
    message = reader.ended()
    assert message.body == b"to the end" and message.last


def test_a_list_that_changes_for_ever_and_clients_that_name_anything_are_held_in_bounds():
    services = settings(effects=("safe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    services["Services"][0]["Name"] = "status"
    facade, spots = Facade(services, 1), [("127.0.0.1", 9000), ("127.0.0.1", 9001)]
    for at in range(1000):      # each takes over the address of the last but one, in a destination of its own
        ident = b"r%d" % at
        left = facade.learn([(ident, at // 2, model.READY, spots[at % 2], "a", "k", 1.0)], True)
        assert (*spots[at % 2], ident) not in left
        assert at < 2 or (*spots[at % 2], b"r%d" % (at - 2)) in left
        facade.take(Sheet(b"m", b"status", b"", b"", b"%d" % (at // 2), b"", b"", 0.0, 1000.0), 0.0)
        while facade.tick(1e6) is not None:
            facade.pick(1e6)
    assert max(map(len, (facade.receivers, facade.destinations, facade.module.lines))) < 300
    assert facade.full(b"499", 0.0) is None and facade.full(b"777", 0.0) > 0.0 and 777 not in facade.destinations


def test_an_ended_mail_leaves_nothing_for_the_collector(tmp_path, monkeypatch):
    class Watched(Sheet):
        __slots__ = ("__weakref__",)

    class Outward:
        def call(self, address, ident, tag, body, limit, done):
            loop.call_soon(done, model.DELIVERED if ident < b"m5" else model.ERROR, 0.0, 5.0, {}, False)

        def tell(self, ident, deferred, ms, answered):
            loop.call_soon(answered)

    async def scene():
        facade, outward, kept = Facade(told, 1), Outward(), []
        facade.learn([(b"r", 7, model.READY, ("127.0.0.1", 9), "a", "k", 1.0)], True)
        relay = Relay(loop, facade, Spool(tmp_path, 1e6), outward, outward)
        for at in range(10):
            assert relay.hand_in(b"m%d" % at, b"charge", b"", b"", b"7", b"", b"body", 5000.0) == (True, 0.0)
        assert len(relay.spool.sheets) == 10
        kept = [weakref.ref(one) for one in relay.spool.sheets.values()]
        await until(lambda: not relay.spool.sheets)
        await until(lambda: not any(one() for one in kept), 1.0)
    told = settings(effects=("unsafe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    told["Services"][0]["Name"] = "charge"
    monkeypatch.setattr("dewpin.relay.Sheet", Watched)
    loop = asyncio.new_event_loop()
    gc.disable()
    try:
        loop.run_until_complete(scene())
    finally:
        gc.enable()
        loop.close()


def test_a_connection_reset_as_the_call_comes_proves_that_nothing_ran(monkeypatch):
    monkeypatch.setattr("dewpin.net.outbound.HELD", 2.0)        # the far side has all the time

    async def scene():
        outside, heard = await Outside().open(), []
        outside.early = True
        pool = Pool(asyncio.get_running_loop(), 300.0, 15000.0)
        pool.call(outside.servers[0].sockets[0].getsockname(), b"m", b"", b"x", 5000.0, lambda *what: heard.append(what))
        await until(lambda: heard)
        assert heard[0][0] == model.DROPPED and heard[0][2] < 1900.0 and not outside.calls
        for one in (outside.agent, *outside.servers, *(c.transport for c in outside.connections)):
            one.close()
    asyncio.run(scene())


def test_a_call_that_has_not_left_is_recalled_or_unreached_and_one_out_is_left_alone():
    async def scene():
        outside, heard = await Outside().open(), {}
        outside.script = lambda call: None
        loop = asyncio.get_running_loop()
        pool = Pool(loop, 300.0, 15000.0)
        shut = socket.create_server(("127.0.0.1", 0), backlog=0)    # its queue fills, and nobody accepts
        filling = [socket.socket() for _ in range(4)]
        for one in filling:
            one.setblocking(False)
            one.connect_ex(shut.getsockname())

        def call(name, address, limit=5000.0):
            pool.call(address, name.encode(), b"", b"x", limit, lambda *what: heard.setdefault(name, what))

        async def reset(*_):
            raise ConnectionResetError(104, "Connect call failed")

        live = outside.servers[0].sockets[0].getsockname()
        call("late", shut.getsockname())
        call("out", live)
        await until(lambda: "late" in heard)
        assert heard["late"][0] == model.UNREACHED and heard["late"][2] >= 299.0
        call("recalled", shut.getsockname())
        await until(lambda: outside.idents() == [b"out"])
        pool.recall(shut.getsockname())
        pool.recall(live)
        assert heard["recalled"][0] == model.UNSENT and "out" not in heard
        create, loop.create_connection = loop.create_connection, reset
        call("reset", shut.getsockname())
        await until(lambda: "reset" in heard)
        assert heard["reset"][0] == model.DROPPED       # while it was made: no crash, and no full table
        loop.create_connection = create
        call("timed out", live, 100.0)
        await until(lambda: "timed out" in heard)
        assert heard["timed out"][0] == model.TIMED_OUT
        outside.script = lambda call: b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf"
        call("half", live, 100.0)
        await until(lambda: "half" in heard)        # the first line counts
        assert heard["half"][0] == model.DELIVERED and pool.resting == 0 and not pool.opening
        for one in (shut, *filling, outside.agent, *outside.servers, *(c.transport for c in outside.connections)):
            one.close()
    asyncio.run(scene())
