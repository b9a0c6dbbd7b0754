"""The fixed set of error kinds and their responses."""

from dewpin.cluster.errors import ERROR_RESPONSES, NOT_RUN_STATUSES, ErrorKind, TierError


def test_error_responses_has_an_entry_for_exactly_the_error_kinds():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_response_guarantees_not_run_exactly_for_not_run_statuses():
    for kind, response in ERROR_RESPONSES.items():
        assert response.guarantees_not_run == (response.status in NOT_RUN_STATUSES), kind


def test_tier_error_has_kind_detail_and_response():
    error = TierError(ErrorKind.NO_ROUTE, "h /x")
    assert (error.kind, error.detail, error.response.status) == (ErrorKind.NO_ROUTE, "h /x", 404)
    assert str(error) == "no_route: h /x"
    assert str(TierError(ErrorKind.INTERNAL)) == "internal"
