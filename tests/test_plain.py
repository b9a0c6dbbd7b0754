"""Plain cases: the module is driven as the adapter drives it."""
from dewpin import model
from dewpin.decide import Dispatcher

SETTINGS = {
    "Allowed": {"MaxAttempts": 6, "MaxOpen": 50, "MaxRetryAfter": 2000.0, "RetryAfter": True, "MayDuplicate": False},
    "FamilyInfo": {"BundleMax": [1], "CallSlots": 4, "Decay": "line", "OwnLimits": [False]},
    "FleetSize": 2, "Tick": 5.0, "Az": 0,
    "Rules": {"AnswerSlack": 20.0, "ColdFrom": 0.2, "DrainGrace": 1000.0, "FallMultiple": 2.0,
              "OverloadFor": 2000.0, "TurnGap": 100.0, "WarmAfter": 9000.0},
    "Services": [
        {"Deadline": 16000.0, "Effect": effect, "GoalTime": 2000.0, "KeyScope": "all", "LateWorth": 0.4,
         "Value": 1.0, "Window": 5000.0, "ByArrival": effect == "unsafe"} for effect in ("safe", "keyed", "unsafe")]}


def setup(receivers=1):
    destination = model.Destination(1)
    for ident in range(receivers):
        model.Receiver(ident, destination)
    return Dispatcher(SETTINGS, 7), destination


def send(module, mail, now=0.0):
    module.route(mail, now)
    assert module.wait(now) == (0.0, mail)
    return module.route(mail, now)


def test_a_once_only_mail_that_timed_out_bounces():
    module, destination = setup()
    mail = model.Mail(1, destination, 0.0, 16000.0, queue_class=2)
    assert send(module, mail)[0] is destination.receivers[0]
    mail.took = 10000.0
    assert module.settle(mail, model.TIMED_OUT, 10000.0) == (model.BOUNCED, 0.0)


def test_a_refused_mail_goes_again_after_a_jittered_pause():
    module, destination = setup()
    mail = model.Mail(1, destination, 0.0, 16000.0, queue_class=2)
    send(module, mail)
    assert module.settle(mail, model.FULL, 20.0) == (model.NOT_YET, 0.0)
    assert 100.0 < module.wait(20.0)[0] < 500.0
