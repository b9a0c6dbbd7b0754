"""Replaces the generated sections of a page, which are delimited by marker comments; other text is kept."""

from __future__ import annotations

from collections.abc import Mapping


class PageError(ValueError):
    """The markers of the page do not match the sections to be written."""


def start_marker(name: str) -> str:
    """Return the marker line before a generated section."""
    return f"<!-- generated: {name} -->"


def end_marker(name: str) -> str:
    """Return the marker line after a generated section."""
    return f"<!-- end: {name} -->"


def replace_section(page: str, name: str, text: str) -> str:
    """Return the page with the text of a section replaced.

    Raises PageError unless both markers occur exactly once, in order.
    """
    start, end = start_marker(name), end_marker(name)
    if page.count(start) != 1 or page.count(end) != 1 or page.index(end) < page.index(start):
        raise PageError(f"section {name!r} needs its start and end markers exactly once each, in order")
    before, _, rest = page.partition(start)
    after = rest.partition(end)[2]
    return f"{before}{start}\n{text.strip()}\n{end}{after}"


def replace_sections(page: str, sections: Mapping[str, str]) -> str:
    """Return the page with all sections replaced.

    Raises PageError also if the page has markers of a section that is not given.
    """
    for name, text in sections.items():
        page = replace_section(page, name, text)
    marker_count = page.count("<!-- generated: ")
    if marker_count != len(sections):
        raise PageError(f"the page has markers of {marker_count} sections, but {len(sections)} are written")
    return page
