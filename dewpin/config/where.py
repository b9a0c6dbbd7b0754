"""On which line of a TOML file a key stands, since the library that reads the file does not say.

It owns no value: it reads text that has been parsed already, at each reading of an operator's file, and a key that it
does not find has no line.
"""
import re

TABLE = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_PART = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
PART = re.compile(_PART)
PAIR = re.compile(rf"\s*({_PART}(?:\s*\.\s*{_PART})*)\s*=(.*)$")
STRING = re.compile(r'"(?:[^"\\]|\\.)*"|\'[^\']*\'|#.*')


def lines(text: str) -> dict[str, int]:
    """{key path: line, from 1} of every table and pair."""
    found: dict[str, int] = {}
    table, end, depth = "", None, 0
    for number, line in enumerate(text.splitlines(), 1):
        if end:                             # inside a text of many lines
            if end in line:
                line, end = line.partition(end)[2], None
                depth = max(0, depth + _open(line))
            continue
        if depth:                           # inside a list or table of many lines
            depth = max(0, depth + _open(line))
            continue
        if named := TABLE.match(line):
            table = _path(named[2])
            found.setdefault(table, number)
        elif pair := PAIR.match(line):
            path = ".".join(filter(None, (table, _path(pair[1]))))
            found.setdefault(path, number)
            end = next((quote for quote in ('"""', "'''") if pair[2].count(quote) % 2), None)
            if not end:
                depth = max(0, _open(pair[2]))
    return found


def last_table(text: str) -> str:
    """The name of the table that the text ends in with nothing behind its head, or ""."""
    for line in reversed(text.splitlines()):
        if line.strip() and not line.lstrip().startswith("#"):
            named = TABLE.match(line)
            return _path(named[2]) if named else ""
    return ""


def _path(words: str) -> str:
    return ".".join(part.strip("\"'") for part in PART.findall(words))


def _open(line: str) -> int:
    bare = STRING.sub("", line)
    return sum(map(bare.count, "[{")) - sum(map(bare.count, "]}"))
