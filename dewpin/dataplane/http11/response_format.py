"""The bytes of answers to clients."""

from collections.abc import Iterable

from dewpin.dataplane.http11.messages import Answer, HeaderField, reason_phrase

NO_BODY_STATUSES = frozenset({204, 304})


def render_whole(answer: Answer, body: bytes, closing: bool, without_body: bool) -> bytes:
    """Return the bytes of an answer with a whole body, or of its head alone."""
    if without_body or answer.status in NO_BODY_STATUSES:
        return render_head(answer, closing, [])
    answer_headers = [field for field in answer.headers if field[0].lower() != "content-length"]
    head = Answer(answer.status, answer_headers, b"", answer.reason)
    return render_head(head, closing, [("Content-Length", str(len(body)))]) + body


def render_head(answer: Answer, closing: bool, framing: Iterable[HeaderField]) -> bytes:
    """Return the bytes of an answer's head."""
    reason = answer.reason or reason_phrase(answer.status)
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines.extend(f"{name}: {value}" for name, value in answer.headers)
    lines.extend(f"{name}: {value}" for name, value in framing)
    if closing:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def render_chunk(part: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(part), part)
