"""How an event becomes the bytes of its line, for people or as JSON."""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from .events import FIELD_PATTERN, Event
from .levels import Level

if TYPE_CHECKING:
    from types import ModuleType

MAX_FIELD_CHARACTERS = 1000
JSON_FORMAT = "json"

_CONTROL_CHARACTERS = {code: f"\\x{code:02x}" for code in (*range(32), *range(127, 160))}

Render = Callable[[Event, dict[str, Any]], bytes]


def make_renderer(log_format: str) -> Render:
    """Return the function from an event and its fields to its line; `log_format`: "lines" or "json"."""
    structlog = _import_structlog()
    time_stamp = structlog.processors.TimeStamper(fmt="iso", utc=True, key="time")
    if log_format != JSON_FORMAT:
        return lambda event, fields: _line_for_people(event, time_stamp(None, event.name, _values(event, fields)))
    import msgspec

    render_json = structlog.processors.JSONRenderer(
        lambda values, default=None, **_: msgspec.json.encode(values, enc_hook=default or str)
    )

    def render(event: Event, fields: dict[str, Any]) -> bytes:
        values = _values(event, fields)
        values["words"] = _sentence(event, values)
        line: bytes = render_json(None, event.name, time_stamp(None, event.name, values))
        return line + b"\n"

    return render


def _import_structlog() -> "ModuleType":
    """Import structlog without `rich`, which its console renderer, unused here, would load where it is installed.

    A starting sender would be out of service 60 ms longer and hold 3.5 MB more.
    """
    hides_rich = "rich" not in sys.modules
    if hides_rich:
        sys.modules["rich"] = None  # type: ignore[assignment]
    try:
        import structlog
    finally:
        if hides_rich:
            del sys.modules["rich"]
    return structlog


def _values(event: Event, fields: dict[str, Any]) -> dict[str, Any]:
    values: dict[str, Any] = {"level": event.level.label, "event": event.name}
    values |= {name: _plain(value) for name, value in fields.items()}
    return values


def _plain(value: Any) -> Any:
    """Return a field's value as text, number or truth value, with nothing in it that could break a line."""
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    if isinstance(value, float):
        return round(value, 3)
    if value is None or isinstance(value, (int, bool)):
        return value
    text = str(value)
    if len(text) > MAX_FIELD_CHARACTERS:
        text = text[: MAX_FIELD_CHARACTERS - 3] + "..."
    return text.translate(_CONTROL_CHARACTERS)


def _sentence(event: Event, values: dict[str, Any]) -> str:
    return FIELD_PATTERN.sub(lambda found: str(values.get(found[1], "")), event.sentence)


def _line_for_people(event: Event, values: dict[str, Any]) -> bytes:
    """Return time, program, level above info, event, sentence, and the fields that the sentence does not use."""
    shown_fields = {"time", "level", "event", *FIELD_PATTERN.findall(event.sentence)}
    other_fields = "".join(
        f" {name}={_quoted(value)}"
        for name, value in values.items()
        if name not in shown_fields and value not in ("", None)
    )
    level = "" if event.level == Level.INFO else f" {event.level.label}:"
    return f"{values['time']} dewpin:{level} {event.name}: {_sentence(event, values)}{other_fields}\n".encode()


def _quoted(value: Any) -> str:
    text = str(value)
    return text if text and not set(text) & set(' "=') else '"' + text.replace('"', '\\"') + '"'
