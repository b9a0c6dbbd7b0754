"""The marked sections of a page: their text is replaced, the prose around them stays."""

from __future__ import annotations

from collections.abc import Mapping


class PageError(ValueError):
    """The page's marks do not fit the sections to be written."""


def start_mark(name: str) -> str:
    """The line before a generated section."""
    return f"<!-- generated: {name} -->"


def end_mark(name: str) -> str:
    """The line after a generated section."""
    return f"<!-- end: {name} -->"


def replace_section(page: str, name: str, text: str) -> str:
    """The page with one section's text replaced; PageError unless its marks stand there once each, in order."""
    start, end = start_mark(name), end_mark(name)
    if page.count(start) != 1 or page.count(end) != 1 or page.index(end) < page.index(start):
        raise PageError(f"section {name!r} needs its two marks once each, in order")
    before, _, rest = page.partition(start)
    after = rest.partition(end)[2]
    return f"{before}{start}\n{text.strip()}\n{end}{after}"


def replace_sections(page: str, sections: Mapping[str, str]) -> str:
    """The page with all sections replaced; PageError also when the page marks a section that is not given."""
    for name, text in sections.items():
        page = replace_section(page, name, text)
    marked = page.count("<!-- generated: ")
    if marked != len(sections):
        raise PageError(f"the page marks {marked} sections, {len(sections)} are written")
    return page
