"""Rendering of events as text or JSON lines."""

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
    """Return a function that renders an event and its fields as a line; `log_format`: "lines" or "json"."""
    structlog = _import_structlog()
    time_stamp = structlog.processors.TimeStamper(fmt="iso", utc=True, key="time")
    if log_format != JSON_FORMAT:
        return lambda event, fields: _render_text_line(event, time_stamp(None, event.name, _log_record(event, fields)))
    import msgspec

    render_json = structlog.processors.JSONRenderer(
        lambda values, default=None, **_: msgspec.json.encode(values, enc_hook=default or str)
    )

    def render(event: Event, fields: dict[str, Any]) -> bytes:
        values = _log_record(event, fields)
        values["words"] = _format_template(event, values)
        line: bytes = render_json(None, event.name, time_stamp(None, event.name, values))
        return line + b"\n"

    return render


def _import_structlog() -> "ModuleType":
    """Import structlog without `rich`, which the unused console renderer would load if it is installed.

    Loading it would lengthen a sender's start by 60 ms and take 3.5 MB of memory.
    """
    is_rich_hidden = "rich" not in sys.modules
    if is_rich_hidden:
        sys.modules["rich"] = None  # type: ignore[assignment]
    try:
        import structlog
    finally:
        if is_rich_hidden:
            del sys.modules["rich"]
    return structlog


def _log_record(event: Event, fields: dict[str, Any]) -> dict[str, Any]:
    values: dict[str, Any] = {"level": event.level.label, "event": event.name}
    values |= {name: _sanitize(value) for name, value in fields.items()}
    return values


def _sanitize(value: Any) -> Any:
    """Return a field's value as text, number or bool, shortened and with control characters escaped."""
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


def _format_template(event: Event, values: dict[str, Any]) -> str:
    return FIELD_PATTERN.sub(lambda match: str(values.get(match[1], "")), event.template)


def _render_text_line(event: Event, values: dict[str, Any]) -> bytes:
    """Return time, program, level unless info, event, text, and the fields that the text does not contain."""
    rendered_fields = {"time", "level", "event", *FIELD_PATTERN.findall(event.template)}
    other_fields = "".join(
        f" {name}={_quote(value)}"
        for name, value in values.items()
        if name not in rendered_fields and value not in ("", None)
    )
    level = "" if event.level == Level.INFO else f" {event.level.label}:"
    return f"{values['time']} dewpin:{level} {event.name}: {_format_template(event, values)}{other_fields}\n".encode()


def _quote(value: Any) -> str:
    text = str(value)
    return text if text and not set(text) & set(' "=') else '"' + text.replace('"', '\\"') + '"'
