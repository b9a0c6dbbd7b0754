"""The memory of relay and facade is bounded and released."""

import asyncio
import gc
import weakref

from dewpin.core import model
from dewpin.core.slow_start import SlowStart
from dewpin.ports import Accepted, AttemptResult, SubmitRequest
from dewpin.relay import learned_state
from dewpin.relay.facade import Facade
from dewpin.relay.message_lifecycle import Relay
from dewpin.spool.journal import Journal
from dewpin.spool.records import MessageRecord
from driver import settings, wait_until


def test_facade_is_bounded_under_changing_lists_and_arbitrary_destinations():
    services = settings(effects=("safe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    services["Services"][0]["Name"] = "status"
    facade, addresses = Facade(services, 1), [("127.0.0.1", 9000), ("127.0.0.1", 9001)]
    for at in range(1000):  # each reuses the address of the receiver before the previous one, in another destination
        receiver_id = b"r%d" % at
        unused = facade.endpoints.update(
            [(receiver_id, at // 2, model.ReceiverState.READY, addresses[at % 2], "a", "k", 1.0)], True
        )
        assert (*addresses[at % 2], receiver_id) not in unused
        assert at < 2 or (*addresses[at % 2], b"r%d" % (at - 2)) in unused
        facade.add_message(MessageRecord(b"m", b"status", b"", b"", b"%d" % (at // 2), b"", b"", 0.0, 1000.0), 0.0)
        while facade.time_until_due_ms(1e6) is not None:
            facade.decide_due(1e6)
    assert max(map(len, (facade.endpoints.receivers, facade.endpoints.destinations, facade.dispatcher.queues))) < 300
    assert facade.overload_retry_after_ms(b"499", 0.0) is None
    assert facade.overload_retry_after_ms(b"777", 0.0) > 0.0 and 777 not in facade.endpoints.destinations


def test_ended_message_is_freed_without_garbage_collection(tmp_path, monkeypatch):
    class WeaklyReferencedRecord(MessageRecord):
        __slots__ = ("__weakref__",)

    class StubTransport:
        def send(self, request):
            assert request.open_send_window() > 0.0
            outcome = model.Outcome.DELIVERED if request.message_id < b"m5" else model.Outcome.ERROR
            loop.call_soon(request.on_finished, AttemptResult(outcome, 0.0, 5.0, {}, False))

        def publish(self, message_id, is_deferred, retry_after_ms, on_acknowledged):
            loop.call_soon(on_acknowledged)

    async def scenario():
        facade, transport = Facade(sender_settings, 1), StubTransport()
        facade.endpoints.update([(b"r", 7, model.ReceiverState.READY, ("127.0.0.1", 9), "a", "k", 1.0)], True)
        relay = Relay(loop, facade, Journal(tmp_path, 1e6), transport, transport)
        for at in range(10):
            request = SubmitRequest(b"m%d" % at, b"charge", b"", b"", b"7", b"", b"body", 5000.0)
            assert isinstance(relay.submit(request), Accepted)
        assert len(relay.journal.pending) == 10
        records = [weakref.ref(one) for one in relay.journal.pending.values()]
        await wait_until(lambda: not relay.journal.pending)
        await wait_until(lambda: not any(one() for one in records), 1.0)

    sender_settings = settings(effects=("unsafe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    sender_settings["Services"][0]["Name"] = "charge"
    monkeypatch.setattr("dewpin.relay.message_lifecycle.MessageRecord", WeaklyReferencedRecord)
    loop = asyncio.new_event_loop()
    gc.disable()
    try:
        loop.run_until_complete(scenario())
    finally:
        gc.enable()
        loop.close()


def test_slow_start_remains_a_slow_start_after_a_hand_over():
    services = settings(effects=("safe",)) | {"Zones": ["a"], "Kinds": ["k"]}
    services["Services"][0]["Name"] = "status"
    old, new = Facade(services, 1), Facade(services, 2)
    for facade in (old, new):
        facade.endpoints.update([(b"r", 7, model.ReceiverState.READY, ("127.0.0.1", 9), "a", "k", 1.0)], True)
    receiver = old.endpoints.receivers[b"r"]
    old.dispatcher.sender.started_at = 0.0
    old.dispatcher.queue_of(old.endpoints.destination(7))
    old.dispatcher.breaker.open(receiver, old.dispatcher.health_of(receiver), 0.0)
    learned_state.import_learned_state(new, learned_state.export_learned_state(old))
    assert type(new.endpoints.receivers[b"r"].health.slow_start) is SlowStart
