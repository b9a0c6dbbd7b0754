"""What the clients of a crowd send: requests that are legal but incomplete, over a limit, or slow."""

import asyncio
import itertools
import secrets
import socket
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from crowds.crowd import Behaviour, Connection

from dewpin.standin.sample_configuration import HOST, PLAIN_PATH, STREAM_PATH

PIECE_BYTES = 65536
PIECE_DELAY_S = 0.01
DRIP_DELAY_S = 0.2
DEADLINE_MS = 8_000
EXCHANGE_TIMEOUT_S = 60.0
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
ENDLESS_PIECES = 2_000
HEADER_LINES = 90
HEADER_LINE_BYTES = 60_000


@dataclass(frozen=True, slots=True)
class Conversation:
    """A stored conversation: its program and the id of its last turn."""

    program: str
    last_turn: str


def request_head(*fields: str, path: str = PLAIN_PATH, method: str = "POST") -> bytes:
    """Return the header section of a request with a new id; its path is `path` and one more letter."""
    lines = (
        f"{method} {path}a HTTP/1.1",
        f"Host: {HOST}",
        f"X-Dewpin-Request-Id: {secrets.token_hex(8)}",
        f"X-Dewpin-Request-Deadline: {DEADLINE_MS}",
        *fields,
    )
    return "\r\n".join(lines).encode() + CRLF + CRLF


def long_head() -> bytes:
    """Return a header section of several megabytes, short of its end."""
    return request_head(*(f"Field-{number}: {'a' * HEADER_LINE_BYTES}" for number in range(HEADER_LINES)))[:-2]


def length_head(length: int, *fields: str, path: str = PLAIN_PATH) -> bytes:
    return request_head(f"Content-Length: {length}", *fields, path=path)


def chunked_head(path: str = PLAIN_PATH) -> bytes:
    return request_head("Transfer-Encoding: chunked", path=path)


def chunked(body: bytes, sizes: Iterator[int]) -> bytes:
    """Return a body in chunks of these sizes, without the last chunk."""
    parts = []
    start = 0
    while start < len(body):
        chunk = body[start : start + next(sizes)]
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        start += len(chunk)
    return b"".join(parts)


def pieces(data: bytes) -> Iterator[memoryview]:
    view = memoryview(data)
    for start in range(0, len(data), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


def whole_bodies(body: bytes) -> Behaviour:
    async def behave(connection: Connection) -> None:
        await connection.send(length_head(len(body), "Connection: close"))
        await connection.send(body)
        await connection.read_to_end()

    return behave


def bodies_in_pieces(body: bytes) -> Behaviour:
    async def behave(connection: Connection) -> None:
        await connection.send(length_head(len(body), "Connection: close"))
        for piece in pieces(body):
            await connection.send(piece)
            await asyncio.sleep(PIECE_DELAY_S)
        await connection.read_to_end()

    return behave


def one_byte_short(body: bytes, path: str = PLAIN_PATH) -> Behaviour:
    async def behave(connection: Connection) -> None:
        await connection.send(length_head(len(body), path=path))
        await connection.send(memoryview(body)[:-1])
        await connection.read_to_end()

    return behave


def byte_by_byte(body: bytes) -> Behaviour:
    """Most of the body at once, then a byte at a time."""

    async def behave(connection: Connection) -> None:
        await connection.send(length_head(len(body)))
        await connection.send(memoryview(body)[: len(body) // 2])
        for position in range(len(body) // 2, len(body)):
            await asyncio.sleep(DRIP_DELAY_S)
            await connection.send(body[position : position + 1])

    return behave


def chunks_without_end(body: bytes, sizes: Iterator[int], path: str = PLAIN_PATH) -> Behaviour:
    """The whole body in chunks, but not the last chunk."""
    data = chunked(body, sizes)

    async def behave(connection: Connection) -> None:
        await connection.send(chunked_head(path))
        await connection.send(data)
        await connection.read_to_end()

    return behave


def chunks_past_the_limit() -> Behaviour:
    chunk = chunked(bytes(PIECE_BYTES), itertools.repeat(PIECE_BYTES))

    async def behave(connection: Connection) -> None:
        await connection.send(chunked_head())
        for _ in range(ENDLESS_PIECES):
            await connection.send(chunk)
        await connection.read_to_end()

    return behave


def announced_past_the_limit(length: int) -> Behaviour:
    piece = bytes(PIECE_BYTES)

    async def behave(connection: Connection) -> None:
        await connection.send(length_head(length))
        for _ in range(length // PIECE_BYTES):
            await connection.send(piece)
        await connection.read_to_end()

    return behave


def endless(head: bytes, piece: bytes) -> Behaviour:
    """A beginning, then the same bytes again and again."""

    async def behave(connection: Connection) -> None:
        await connection.send(head)
        for _ in range(ENDLESS_PIECES):
            await connection.send(piece)
        await connection.read_to_end()

    return behave


def incomplete(data: bytes) -> Behaviour:
    """Some bytes, and nothing after them."""

    async def behave(connection: Connection) -> None:
        await connection.send(data)
        await connection.read_to_end()

    return behave


def unread(data: bytes) -> Behaviour:
    """Some bytes whose answers are never read."""

    async def behave(connection: Connection) -> None:
        await connection.send(data)
        await connection.stay_open()

    return behave


def unread_answers(answer_bytes: int, body: bytes = b"") -> Behaviour:
    async def behave(connection: Connection) -> None:
        await connection.send(length_head(len(body), f"Standin-Answer-Bytes: {answer_bytes}") + body)
        await connection.stay_open()

    return behave


def turns(body: bytes) -> Behaviour:
    """First turns of conversations, which the stores keep."""

    async def behave(connection: Connection) -> None:
        program = f"Program: {secrets.token_hex(4)}"
        await connection.send(length_head(len(body), program, "Connection: close", path=STREAM_PATH))
        await connection.send(body)
        await connection.read_to_end()

    return behave


def later_turns(conversations: Sequence[Conversation], body: bytes) -> Behaviour:
    """Turns that continue stored conversations, each connection another one."""
    next_conversation = itertools.cycle(conversations)

    async def behave(connection: Connection) -> None:
        conversation = next(next_conversation)
        fields = f"Program: {conversation.program}", f"Previous: {conversation.last_turn}", "Connection: close"
        await connection.send(length_head(len(body), *fields, path=STREAM_PATH) + body)
        await connection.read_to_end()

    return behave


def exchange(address: str, request: bytes) -> bytes:
    """Send one request from a client of its own; return the beginning of the response."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), EXCHANGE_TIMEOUT_S) as sock:
        sock.sendall(request)
        return sock.recv(PIECE_BYTES)
