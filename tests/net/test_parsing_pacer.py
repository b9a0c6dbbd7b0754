"""Pauses of connections whose requests are costly to parse."""

import pytest

from dewpin.net.parsing_pacer import MAX_COSTLY_SECONDS, MIN_COSTLY_SECONDS, PAUSE_FACTOR, ParsingPacer


def test_pauses_follow_each_other():
    pacer = ParsingPacer()
    assert pacer.pause_seconds(100.0, 0.01) == pytest.approx(PAUSE_FACTOR * 0.01)
    assert pacer.pause_seconds(100.0, 0.02) == pytest.approx(PAUSE_FACTOR * 0.03)
    assert pacer.pause_seconds(200.0, 0.01) == pytest.approx(PAUSE_FACTOR * 0.01)


def test_cheap_parsing_is_not_delayed():
    assert ParsingPacer().pause_seconds(100.0, MIN_COSTLY_SECONDS / 2) == 0.0


def test_process_that_was_stopped_while_it_parsed_does_not_pause_for_long():
    assert ParsingPacer().pause_seconds(100.0, 5.0) == pytest.approx(PAUSE_FACTOR * MAX_COSTLY_SECONDS)
