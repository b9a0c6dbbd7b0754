"""The fleet rig: real senders keep the rules among faults, and the rig catches those that don't."""
import asyncio
import json
import sys

import pytest

from dewpin.cli.main import main
from dewpin.lab.fleet import places, run, scenario

FIRST = """
from dewpin.core.receiver_selection import ReceiverSelector
ReceiverSelector.select = lambda self, queue, message, now: min(
    (r for r in queue.destination.receivers if self.available_at(r, message, now) <= now),
    key=lambda r: r.receiver_id, default=None)
"""
DEAF = """
import msgspec
from dewpin.relay.facade import Facade
report_result = Facade.report_result
Facade.report_result = lambda self, record, result, now_ms: report_result(
    self, record, msgspec.structs.replace(result, retry_after_ms=0.0), now_ms)
"""
FORGETS = """
from dewpin.spool.journal import Journal
Journal.accept = lambda self, message, already_accepted=False: True
"""


def odd(fault):
    """The settings of a fleet whose first two senders hold a fault."""
    program = fault + "\nfrom dewpin.cli.main import main\nraise SystemExit(main(['run']))"
    return {"count": 6, "command": [sys.executable, "-c", program], "odd": [0, 1]}


def played(folder, **held):
    return asyncio.run(run.play(scenario.made({"slack_ms": 3000.0} | held), folder))


def test_a_dozen_senders_keep_the_rules_while_links_drop_and_slow(tmp_path):
    result = played(
        tmp_path, senders={"count": 12}, load={"rate": 40.0, "seconds": 7.0, "classes": {
            "keyed": 0.5, "safe": 0.2, "unsafe": 0.3}},
        receivers={"connections": 40, "limit": 60.0, "tells_wait": 0.5},
        faults=[{"at": 0.5, "what": "cut", "senders": 0.3, "zone": "a", "way": "from", "seconds": 2.0},
                {"at": 0.5, "what": "lag", "senders": 0.5, "ms": 150.0, "seconds": 3.0},
                {"at": 1.0, "what": "kill", "senders": 0.25, "seconds": 1.0},
                {"at": 1.0, "what": "refuse", "seconds": 2.0},
                {"at": 1.5, "what": "stop", "senders": 0.2, "seconds": 2.0},
                {"at": 2.0, "what": "join"}, {"at": 2.5, "what": "leave", "receivers": 0.2},
                {"at": 3.0, "what": "reset", "receivers": 0.3, "share": 0.3, "seconds": 2.0},
                {"at": 4.0, "what": "term", "senders": 0.2, "seconds": 1.0}])
    assert result["breaks"] == []
    figures = result["figures"]
    assert figures["ends"]["delivered"] > 0.6 * figures["mails"] and figures["mails"] == sum(figures["ends"].values())
    assert figures["list_calls_turned_away"] and set(figures["newcomers"]) == {
        f"r{at}" for at in range(12, 18)}
    assert json.loads((tmp_path / "result.json").read_text())["figures"] == figures


def test_a_sender_that_prefers_the_first_receiver_shows(tmp_path):
    fleets = [{"count": 6}, odd(FIRST) | {"odd": list(range(6))}]
    even, herd = (played(tmp_path / str(at), senders=fleet, load={"rate": 60.0, "seconds": 4.0},
                         receivers={"destinations": 1, "zones": ["a"]})["figures"] for at, fleet in enumerate(fleets))
    assert herd["idlest"] < 0.3 < even["idlest"] and herd["busiest"] > 1.7 > even["busiest"]


@pytest.mark.parametrize("fault, rule, more", [
    (DEAF, "wait", {"receivers": {"destinations": 1, "limit": 6.0, "tells_wait": 1.0}, "slack_ms": 0.0}),
    (FORGETS, "lost", {"load": {"rate": 30.0, "seconds": 3.0, "lifetime_ms": 4000.0}, "slack_ms": 500.0,
                       "faults": [{"at": 0.2, "what": "hang", "receivers": 1.0, "seconds": 5.0},
                                  {"at": 1.5, "what": "kill", "senders": 1.0, "seconds": 0.2}]})])
def test_a_sender_that_breaks_a_rule_is_caught(tmp_path, fault, rule, more):
    held = {"senders": odd(fault), "load": {"rate": 30.0, "seconds": 4.0}} | more
    result = played(tmp_path, **held)
    assert {one["rule"] for one in result["breaks"]} == {rule}
    assert {one["sender"] for one in result["breaks"]} <= {0, 1} and all(one["last"] for one in result["breaks"])


def test_all_that_was_started_ends_also_when_the_run_fails(tmp_path):
    ends = [sys.executable, "-c", "raise SystemExit(1)"]
    held = scenario.made({"senders": {"count": 3, "command": ends, "odd": [2]}})
    runs = []

    async def fails():
        runs.append(run.Run(held, tmp_path))
        await runs[0].play()
    with pytest.raises(RuntimeError, match="sender 2 ended"):
        asyncio.run(fails())
    assert all(one.process.poll() is not None for one in runs[0].senders)


def test_faulty_scenarios_are_told_by_their_key(tmp_path, capsys):
    file = tmp_path / "s.toml"
    for text, words in (("[load]\nrate = 0", "load.rate"), ("[[faults]]\nat = 1\nwhat = 'rain'", "what"),
                        ("[[faults]]\nat = 1\nwhat = 'cut'\nzone = 'x'", "faults[0].zone"), ("[", "no TOML"),
                        ("[load.classes]\nodd = 1", "load.classes"),
                        ("[[faults]]\nat = 99\nwhat = 'join'", "after the end")):
        file.write_text(text)
        assert main(["lab", "fleet", str(file)]) == 2 and words in capsys.readouterr().err


def place(**held):
    told = scenario.Receivers(**({"vary": 0.0, "at_once": 2, "queue": 2} | held))
    return places.Place(told, places.Destination(told.limit), 1)


def test_a_receiver_serves_so_many_at_a_time_and_turns_the_rest_away():
    one = place()
    assert [one.call(0.0, 0) for _ in range(5)] == [
        (200, 0.0, 200.0), (200, 0.0, 200.0), (200, 0.0, 400.0), (200, 0.0, 400.0), (503, 0.0, 0.0)]
    assert one.call(200.0, 0) == (200, 0.0, 400.0)
    told = place(limit=1.0, tells_wait=1.0)
    assert told.call(200.0, 0)[0] == 200 and told.call(300.0, 0) == (429, 700.0, 0.0)
    assert told.call(1000.0, 0)[0] == 200       # at the end of the wait there is room again


def test_a_cold_receiver_falls_over_under_more_than_it_bears_and_it_is_told_whose_fault_it_is():
    for knew in (False, True):
        one = place()
        one.fails(0.0, places.DOWN)
        if knew:
            one.call(10.0, 7)
        one.returns(1000.0)
        calls = 0
        while not one.fallen:
            one.call(1000.0 + calls, 7)
            calls += 1
        assert one.fallen[2] is knew and 8 <= calls <= 30 and one.call(5000.0, 1)[0] == 503
        one.returns(6000.0)
        assert one.call(6000.0, 1)[0] == 503    # it stays down
    calm = place()
    calm.fails(0.0, places.DOWN)
    calm.returns(1000.0)
    for at in range(100):
        calm.call(1000.0 + 300.0 * at, 7)
    assert not calm.fallen
