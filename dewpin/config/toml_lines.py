"""The line numbers of keys in a TOML file, which the library that parses the file does not tell.

The text has been parsed already. A key that is not found here has no line.
"""

import re

TABLE_PATTERN = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
NAME_PATTERN = re.compile(_NAME)
PAIR_PATTERN = re.compile(rf"\s*({_NAME}(?:\s*\.\s*{_NAME})*)\s*=(.*)$")
STRING_OR_COMMENT_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|\'[^\']*\'|#.*')
MULTILINE_QUOTES = ('"""', "'''")


def line_numbers(text: str) -> dict[str, int]:
    """Return the line, from 1, of every table and pair by its key path."""
    found: dict[str, int] = {}
    table = ""
    open_quote: str | None = None  # of a text of several lines
    depth = 0  # of open brackets of a list or table of several lines
    for number, line in enumerate(text.splitlines(), 1):
        if open_quote:
            if open_quote in line:
                rest, open_quote = line.partition(open_quote)[2], None
                depth = max(0, depth + _count_open_brackets(rest))
        elif depth:
            depth = max(0, depth + _count_open_brackets(line))
        elif table_match := TABLE_PATTERN.match(line):
            table = _key_path(table_match[2])
            found.setdefault(table, number)
        elif pair_match := PAIR_PATTERN.match(line):
            path = ".".join(filter(None, (table, _key_path(pair_match[1]))))
            found.setdefault(path, number)
            value = pair_match[2]
            open_quote = next((quote for quote in MULTILINE_QUOTES if value.count(quote) % 2), None)
            if not open_quote:
                depth = max(0, _count_open_brackets(value))
    return found


def last_table(text: str) -> str:
    """Return the name of the table with which the text ends and which is empty, or ""."""
    for line in reversed(text.splitlines()):
        if line.strip() and not line.lstrip().startswith("#"):
            found = TABLE_PATTERN.match(line)
            return _key_path(found[2]) if found else ""
    return ""


def _key_path(text: str) -> str:
    return ".".join(name.strip("\"'") for name in NAME_PATTERN.findall(text))


def _count_open_brackets(line: str) -> int:
    bare = STRING_OR_COMMENT_PATTERN.sub("", line)
    return sum(map(bare.count, "[{")) - sum(map(bare.count, "]}"))
