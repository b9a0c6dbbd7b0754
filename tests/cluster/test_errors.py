"""The closed list of errors: every kind has one answer, and promises go with statuses that carry them."""

from dewpin.cluster.errors import ANSWERS, PROMISING_STATUSES, ErrorKind, TierError


def test_every_kind_has_an_answer_and_no_other_has():
    assert set(ANSWERS) == set(ErrorKind)


def test_a_promise_is_made_by_exactly_the_statuses_that_carry_one():
    for kind, answer in ANSWERS.items():
        assert answer.promises_not_run == (answer.status in PROMISING_STATUSES), kind


def test_an_error_tells_its_kind_its_detail_and_its_answer():
    error = TierError(ErrorKind.NO_ROUTE, "h /x")
    assert (error.kind, error.detail, error.answer.status) == (ErrorKind.NO_ROUTE, "h /x", 404)
    assert str(error) == "no_route: h /x"
    assert str(TierError(ErrorKind.INTERNAL)) == "internal"
