"""Finds the line numbers of keys in a TOML file, which tomllib does not report.

The text has already been parsed successfully. Keys that are not found here are reported without a line number.
"""

import re

TABLE_PATTERN = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
NAME_PATTERN = re.compile(_NAME)
PAIR_PATTERN = re.compile(rf"\s*({_NAME}(?:\s*\.\s*{_NAME})*)\s*=(.*)$")
STRING_OR_COMMENT_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|\'[^\']*\'|#.*')
MULTILINE_QUOTES = ('"""', "'''")


def line_numbers(text: str) -> dict[str, int]:
    """Return the line number, from 1, of every table and key by its path."""
    lines_by_path: dict[str, int] = {}
    table = ""
    open_quote: str | None = None  # delimiter of the current multi-line string
    depth = 0  # number of open brackets in a multi-line array or inline table
    for number, line in enumerate(text.splitlines(), 1):
        if open_quote:
            if open_quote in line:
                remainder, open_quote = line.partition(open_quote)[2], None
                depth = max(0, depth + _count_open_brackets(remainder))
        elif depth:
            depth = max(0, depth + _count_open_brackets(line))
        elif table_match := TABLE_PATTERN.match(line):
            table = _key_path(table_match[2])
            lines_by_path.setdefault(table, number)
        elif pair_match := PAIR_PATTERN.match(line):
            path = ".".join(filter(None, (table, _key_path(pair_match[1]))))
            lines_by_path.setdefault(path, number)
            value = pair_match[2]
            open_quote = next((quote for quote in MULTILINE_QUOTES if value.count(quote) % 2), None)
            if not open_quote:
                depth = max(0, _count_open_brackets(value))
    return lines_by_path


def last_table(text: str) -> str:
    """Return the name of the empty table that ends the text, or ""."""
    for line in reversed(text.splitlines()):
        if line.strip() and not line.lstrip().startswith("#"):
            table_match = TABLE_PATTERN.match(line)
            return _key_path(table_match[2]) if table_match else ""
    return ""


def _key_path(text: str) -> str:
    return ".".join(name.strip("\"'") for name in NAME_PATTERN.findall(text))


def _count_open_brackets(line: str) -> int:
    code = STRING_OR_COMMENT_PATTERN.sub("", line)
    return sum(map(code.count, "[{")) - sum(map(code.count, "]}"))
