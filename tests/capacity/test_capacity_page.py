"""The page writer: marked sections, verdicts, missing series, and the stored page against its results."""

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity.context import Context
from benchmarks.capacity.coverage import entries, outcome
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.page import PageError, replace_section, replace_sections
from benchmarks.capacity.report import sections
from benchmarks.capacity.results import Results, Run, load, save
from benchmarks.capacity.series import QUICK, Effort, Series, sample
from benchmarks.capacity.sheet import Row, Verdict, estimate, markdown_table, quantity
from benchmarks.capacity.sweep import SweepError, read_entry, read_table, sweep_table
from benchmarks.capacity.target import ASSUMED, TARGET, Target

PAGE = "before\n<!-- generated: a -->\nold\n<!-- end: a -->\nbetween\n<!-- generated: b -->\n<!-- end: b -->\nafter\n"
RUN = Run("2026-01-01 00:00 UTC", "abc1234", 4, "3.11.0", "3.40.0", 0.5)


SWEEP = """day      own/srv
sweep-10   11/99   0.89

middle / busiest or longest, by own machines
                                 10              30             100  power  at null
control server: processor %       6.3 / 6.7       4.8 / 5.4       3.6 / 5.4  -0.09  -
control server: connections     11.0 / 11.0     31.0 / 31.0       101 / 101   1.05  -
power: the busiest grows as machines to this power
"""


def series(name="encode", points=((1.0, 3.0), (2.0, 5.0), (3.0, 7.0))):
    return Series(name, "title", "stand-in", "bytes", "time", "µs", points)


def test_only_marked_sections_are_replaced_and_writing_again_changes_nothing():
    written = replace_sections(PAGE, {"a": "new\ntext", "b": "more"})
    assert written == (
        "before\n<!-- generated: a -->\nnew\ntext\n<!-- end: a -->\nbetween\n"
        "<!-- generated: b -->\nmore\n<!-- end: b -->\nafter\n"
    )
    assert replace_sections(written, {"a": "new\ntext", "b": "more"}) == written


@pytest.mark.parametrize(
    "page",
    [
        "no marks",
        "<!-- generated: a -->",
        "<!-- end: a -->\n<!-- generated: a -->",
        "<!-- generated: a -->\n<!-- generated: a -->\n<!-- end: a -->",
    ],
)
def test_unmatched_section_marks_are_rejected(page):
    with pytest.raises(PageError):
        replace_section(page, "a", "text")


def test_marked_section_without_content_is_rejected():
    with pytest.raises(PageError):
        replace_sections(PAGE, {"a": "text"})


@pytest.mark.parametrize(
    "value, limit, verdict",
    [
        (Estimate(5, 1), 10, Verdict.INSIDE),
        (Estimate(9, 1), 10, Verdict.IN_DOUBT),
        (Estimate(11, 1), 10, Verdict.IN_DOUBT),
        (Estimate(13, 1), 10, Verdict.BEYOND),
        (Estimate(10, 0), 10, Verdict.INSIDE),
        (Estimate(5, 1), None, Verdict.NO_BOUND),
        (None, 10, Verdict.NOT_MEASURED),
    ],
)
def test_verdict_requires_a_margin_of_two_standard_errors(value, limit, verdict):
    assert Row("what", "how", value, "ms", "file", limit).verdict() is verdict


def test_quantities_are_formatted_with_their_units():
    assert quantity(0.0163, "share") == "1.63%"
    assert quantity(128e6, "B") == "128 MB"
    assert quantity(10_250, "B/s") == "10.2 kB/s"
    assert quantity(2_400_000, "") == "2,400,000"
    assert quantity(0.000012, "s") == "0.000012 s"
    assert quantity(0.000000031, "s") == "3.1e-08 s"
    assert quantity(0, "B") == "0 B"
    assert estimate(Estimate(2, 0.5), "ms") == "2 ms ± 0.5 ms"
    assert estimate(Estimate(2), "ms") == "2 ms"


def test_vertical_bars_in_table_cells_are_escaped():
    assert markdown_table(("a",), [("x|y",)]) == "| a |\n| --- |\n| x\\|y |"


def test_row_without_its_series_is_marked_not_measured():
    context = Context(TARGET, ASSUMED, Results({}, {}))
    row = context.row("what", "how", lambda: context.at("encode", 1), "µs", "file", 5.0)
    assert row.value is None and row.verdict() is Verdict.NOT_MEASURED


def test_row_takes_its_value_from_the_fitted_line():
    context = Context(TARGET, ASSUMED, Results({"encode": series()}, {"encode": RUN}))
    row = context.row("what", "how", lambda: 2 * context.at("encode", 10), "µs", "file")
    assert row.value is not None and row.value.value == pytest.approx(42)


def test_page_without_results_marks_figures_not_measured():
    written = sections(Results({}, {}), read_table(SWEEP))
    measured_rows = [line for line in written["sender-bytes"].splitlines() if "state-bytes" in line]
    assert measured_rows and all("not measured" in line for line in measured_rows)


def test_sweep_table_is_parsed_and_fitted():
    processor, connections = read_table(SWEEP)
    assert processor.name == "control server: processor %"
    assert processor.middle == (6.3, 4.8, 3.6) and processor.busiest == (6.7, 5.4, 5.4)
    assert connections.machines == (10, 30, 100)
    assert connections.line().slope == pytest.approx(1) and connections.line().intercept == pytest.approx(1)
    assert sweep_table([connections], TARGET, ASSUMED).endswith("| 11 / 11 | 31 / 31 | 101 / 101 | 1 | 383 |")
    assert " ± " in sweep_table([processor], TARGET, ASSUMED).splitlines()[-1]


@pytest.mark.parametrize("digest", ["", "day own/srv", "     10    30    100  power\nnothing"])
def test_text_that_is_no_sweep_is_rejected(digest):
    with pytest.raises(SweepError):
        read_table(digest)


def test_unfinished_sweep_is_rejected(tmp_path):
    entry = tmp_path / "entry.json"
    entry.write_text('{"cmd": "sweep", "ok": false, "digest": ""}')
    with pytest.raises(SweepError):
        read_entry(entry)


def test_saved_results_are_loaded_unchanged(tmp_path):
    results = Results({"encode": series()}, {"encode": RUN})
    save(results, tmp_path / "results.json")
    assert load(tmp_path / "results.json") == results
    assert load(tmp_path / "none.json") == Results({}, {})


def test_repeated_measurement_replaces_the_old_series():
    old = Results({"encode": series()}, {"encode": RUN})
    measured_again = series(points=((1.0, 1.0), (2.0, 2.0), (3.0, 3.0)))
    assert old.with_series(measured_again, RUN).series["encode"] is measured_again
    assert old.series["encode"] is not measured_again


def test_each_round_measures_all_points_in_order():
    measured_at = []
    points = sample((1, 2), Effort(0, 2), lambda x: float(measured_at.append(x) or x * 10))
    assert measured_at == [1, 2, 1, 2]
    assert points == ((1.0, 10.0), (2.0, 20.0), (1.0, 10.0), (2.0, 20.0))


def test_every_figure_of_the_target_list_is_covered():
    figures = " ".join(entry.figure for entry in entries(TARGET))
    for figure in (
        *("350 senders", "770 receivers", "3,100 accelerators", "1,600 requests", "520,000 tokens", "1.2 s", "77 ms"),
        *("95%", "24,000 programs", "100 turns", "500,000 tokens", "240 tenants", "7 models", "3 regions", "9 zones"),
        *("850 changes", "14 s", "1.6%", "128 MB", "10 kB/s", "5 machines", "6 failures", "150 restarts"),
        *("a rack", "a zone", "an hour"),
    ):
        assert figure in figures, figure


def test_figures_of_the_list_come_from_the_target():
    assert entries(Target(senders=351))[0].figure == "351 senders"


def test_entry_with_unknown_row_is_an_error():
    entry = next(entry for entry in entries(TARGET) if entry.rows)
    with pytest.raises(KeyError):
        outcome(entry, {})


def test_every_stored_series_has_a_measurement():
    assert set(load(command.RESULTS).series) <= set(command.MEASURES)


@pytest.mark.parametrize(
    "name",
    [
        *("configuration-bytes", "state-bytes", "accepted-bytes", "receiver-bytes", "text-growth"),
        *("lease-bytes", "lease-answer-bytes", "hello-bytes"),
    ],
)
def test_measured_sizes_grow_linearly(name):
    line = command.MEASURES[name](QUICK).line()
    assert line.slope > 0 and line.slope_error < 0.05 * line.slope


def test_page_matches_its_results():
    hint = "the results or a constant of a module changed; run python -m benchmarks.capacity --page"
    assert command.write_page(load(command.RESULTS)) == command.PAGE.read_text(), hint
