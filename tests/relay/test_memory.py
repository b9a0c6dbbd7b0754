"""What relay and facade keep, and that it has an end."""

import asyncio
import gc
import weakref

from dewpin.core import model
from dewpin.core.slow_start import SlowStart
from dewpin.relay import learnt
from dewpin.relay.course import Relay
from dewpin.relay.facade import Facade
from dewpin.spool.journal import Journal
from dewpin.spool.records import MessageRecord
from driver import settings, until


def test_a_list_that_changes_for_ever_and_clients_that_name_anything_are_held_in_bounds():
    services = settings(effects=("safe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    services["Services"][0]["Name"] = "status"
    facade, spots = Facade(services, 1), [("127.0.0.1", 9000), ("127.0.0.1", 9001)]
    for at in range(1000):  # each takes over the address of the last but one, in a destination of its own
        ident = b"r%d" % at
        left = facade.learn([(ident, at // 2, model.ReceiverState.READY, spots[at % 2], "a", "k", 1.0)], True)
        assert (*spots[at % 2], ident) not in left
        assert at < 2 or (*spots[at % 2], b"r%d" % (at - 2)) in left
        facade.take(MessageRecord(b"m", b"status", b"", b"", b"%d" % (at // 2), b"", b"", 0.0, 1000.0), 0.0)
        while facade.tick(1e6) is not None:
            facade.pick(1e6)
    assert max(map(len, (facade.receivers, facade.destinations, facade.module.queues))) < 300
    assert facade.full(b"499", 0.0) is None and facade.full(b"777", 0.0) > 0.0 and 777 not in facade.destinations


def test_an_ended_mail_leaves_nothing_for_the_collector(tmp_path, monkeypatch):
    class Watched(MessageRecord):
        __slots__ = ("__weakref__",)

    class Outward:
        def call(self, address, ident, tag, body, limit, leaves, done):
            assert leaves() > 0.0
            loop.call_soon(done, model.Outcome.DELIVERED if ident < b"m5" else model.Outcome.ERROR, 0.0, 5.0, {}, False)

        def tell(self, ident, deferred, ms, answered):
            loop.call_soon(answered)

    async def scene():
        facade, outward, kept = Facade(told, 1), Outward(), []
        facade.learn([(b"r", 7, model.ReceiverState.READY, ("127.0.0.1", 9), "a", "k", 1.0)], True)
        relay = Relay(loop, facade, Journal(tmp_path, 1e6), outward, outward)
        for at in range(10):
            assert relay.hand_in(b"m%d" % at, b"charge", b"", b"", b"7", b"", b"body", 5000.0) == (True, 0.0)
        assert len(relay.spool.pending) == 10
        kept = [weakref.ref(one) for one in relay.spool.pending.values()]
        await until(lambda: not relay.spool.pending)
        await until(lambda: not any(one() for one in kept), 1.0)

    told = settings(effects=("unsafe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    told["Services"][0]["Name"] = "charge"
    monkeypatch.setattr("dewpin.relay.course.MessageRecord", Watched)
    loop = asyncio.new_event_loop()
    gc.disable()
    try:
        loop.run_until_complete(scene())
    finally:
        gc.enable()
        loop.close()


def test_a_trickle_handed_over_rises_as_it_did():
    services = settings(effects=("safe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    services["Services"][0]["Name"] = "status"
    old, new = Facade(services, 1), Facade(services, 2)
    for facade in (old, new):
        facade.learn([(b"r", 7, model.ReceiverState.READY, ("127.0.0.1", 9), "a", "k", 1.0)], True)
    receiver = old.receivers[b"r"]
    old.module.sender.started_at = 0.0
    old.module.queue_of(old.destination(7))
    old.module.breaker.open(receiver, old.module.health_of(receiver), 0.0)
    learnt.recall(new, learnt.told(old))
    assert type(new.receivers[b"r"].health.slow_start) is SlowStart
