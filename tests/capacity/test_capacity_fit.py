"""Linear fit of measurements: slopes, standard errors, and rejection of data without a standard error."""

import math

import pytest

from benchmarks.capacity.fit import Estimate, fit_line


def test_points_on_a_line_are_fitted_without_error():
    line = fit_line([(1, 5), (2, 7), (4, 11), (10, 23)])
    assert line.slope == pytest.approx(2)
    assert line.intercept == pytest.approx(3)
    assert line.slope_error == pytest.approx(0, abs=1e-9)
    assert line.at(350).value == pytest.approx(703)
    assert line.at(350).error == pytest.approx(0, abs=1e-6)


def test_standard_errors_match_textbook_formulas():
    line = fit_line([(0, 0), (1, 1), (2, 1), (3, 2)])
    # mean x 1.5, sum of squares 5; slope 0.6, intercept 0.1; residuals -0.1, 0.3, -0.3, 0.1: squares 0.2 over 2
    assert line.slope == pytest.approx(0.6)
    assert line.intercept == pytest.approx(0.1)
    assert line.residual_deviation == pytest.approx(math.sqrt(0.1))
    assert line.slope_error == pytest.approx(math.sqrt(0.1 / 5))
    assert line.at(1.5).error == pytest.approx(math.sqrt(0.1 / 4))
    assert line.at(11.5).error == pytest.approx(math.sqrt(0.1 * (1 / 4 + 100 / 5)))


def test_standard_error_grows_with_extrapolation():
    line = fit_line([(0, 0), (1, 1), (2, 1), (3, 2)])
    assert line.at(100).error > line.at(4).error > line.at(1.5).error


@pytest.mark.parametrize("points", [[], [(1, 1)], [(1, 1), (2, 2)], [(3, 1), (3, 2), (3, 3)]])
def test_points_without_standard_error_are_rejected(points):
    with pytest.raises(ValueError):
        fit_line(points)


def test_errors_propagate_through_arithmetic():
    a, b = Estimate(10, 3), Estimate(20, 4)
    assert (a + b) == Estimate(30, 5)
    assert (2 * a) == Estimate(20, 6)
    product = a * b
    assert product.value == 200 and product.error == pytest.approx(math.hypot(3 * 20, 4 * 10))
    quotient = b / a
    assert quotient.value == 2 and quotient.error == pytest.approx(2 * math.hypot(4 / 20, 3 / 10))
    assert (1 / Estimate(4, 0.4)).error == pytest.approx(0.25 * 0.1)
