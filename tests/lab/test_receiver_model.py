"""The model of a receiver: concurrency, queue, rate limit, warm-up and overload."""

from dewpin.lab.fleet.receiver_model import CallResult, DestinationQuota, ReceiverModel, ReceiverStatus
from dewpin.lab.fleet.scenario import Receivers


def create_model(**parameters):
    receivers = Receivers(**({"service_variation": 0.0, "concurrency": 2, "queue_length": 2} | parameters))
    return ReceiverModel(receivers, DestinationQuota(receivers.rate_limit), 1)


def test_calls_beyond_concurrency_and_queue_length_are_rejected():
    model = create_model()
    assert [model.call(0.0, 0) for _ in range(5)] == [
        CallResult(200, 0.0, 200.0),
        CallResult(200, 0.0, 200.0),
        CallResult(200, 0.0, 400.0),
        CallResult(200, 0.0, 400.0),
        CallResult(503, 0.0, 0.0),
    ]
    assert model.call(200.0, 0) == CallResult(200, 0.0, 400.0)


def test_rate_limit_rejection_has_the_delay_until_calls_are_permitted_again():
    model = create_model(rate_limit=1.0, retry_after_share=1.0)
    assert model.call(200.0, 0).status == 200 and model.call(300.0, 0) == CallResult(429, 700.0, 0.0)
    assert model.call(1000.0, 0).status == 200


def test_cold_receiver_fails_under_overload_and_reports_whether_senders_knew_of_the_outage():
    for sender_knew in (False, True):
        model = create_model()
        model.fail(ReceiverStatus.DOWN)
        if sender_knew:
            model.call(10.0, 7)
        model.recover(1000.0)
        calls = 0
        while not model.overload:
            model.call(1000.0 + calls, 7)
            calls += 1
        assert model.overload.is_senders_fault is sender_knew and 8 <= calls <= 30
        assert model.call(5000.0, 1).status == 503
        model.recover(6000.0)
        assert model.call(6000.0, 1).status == 503  # stays down after an overload


def test_cold_receiver_with_few_calls_does_not_fail():
    model = create_model()
    model.fail(ReceiverStatus.DOWN)
    model.recover(1000.0)
    for number in range(100):
        model.call(1000.0 + 300.0 * number, 7)
    assert not model.overload
