"""One run of the complete program that records its messages to clients, the agent and operators, and its status."""

import asyncio
import json
import re
import tempfile
from pathlib import Path

from golden.sender.wire_scenes import converse, response, submission
from golden.sender_api import complete_program

TIMING_DEPENDENT = {"health", "usual_ms", "pace", "trickle"}  # vary with the receivers, chosen by the time of day
QUEUE_CLASSES = {"good": "notice", "broken": "charge", "told": "status", "held": "notice", "unknown": "of no class"}


def respond_to_call(ident):
    """Return the receivers' response to the call of a message."""
    if ident == "told":
        return response(429, b"Retry-After: 5")
    return {"good": response(200), "broken": "reset"}.get(ident)


def shape(value):
    """Return the structure of a value: keys in order, strings unchanged, other values replaced by their type."""
    if isinstance(value, dict):
        return [[key, "masked" if key in TIMING_DEPENDENT else shape(item)] for key, item in value.items()]
    if isinstance(value, list):
        return [shape(item) for item in value]
    if isinstance(value, str) or value is None:
        return value
    return type(value).__name__


def play(folder):
    """Run the program; return its output without what differs between runs."""
    recorded = {}

    async def use_program(program):
        async def exchange(address, content):
            connection = await asyncio.open_connection(*address)
            # each of these requests closes the connection
            return (await converse(*connection, content, {"answer": "x", "connection_ended": True}))["answer"]

        async def client(ident):
            deadline = b"0.4" if ident == "told" else b"9"
            content = submission(
                b"Connection: close",
                Req_Id=ident.encode(),
                Req_Kind=QUEUE_CLASSES[ident].encode(),
                Req_Deadline=deadline,
            )
            return await exchange(program.client_address, content)

        program.respond_to_calls(respond_to_call)
        clients = {}
        for ident in ("good", "broken", "told", "held"):
            clients[ident] = await client(ident)
            await program.wait_until(lambda ident=ident: ident in program.called_ids() or ident == "held")
            if ident in ("broken", "told"):
                await program.wait_until(
                    lambda ident=ident: any(notice["message"] == ident for notice in program.notices())
                )
        for ident in ("good", "unknown"):
            clients[f"{ident} again"] = await client(ident)
        recorded["clients"] = clients
        recorded["notices"] = [
            {key: value if key != "retry_in_ms" else type(value).__name__ for key, value in notice.items()}
            for notice in program.notices()
        ]
        console = {}
        for line in ("GET /_ready", "POST /_receivers/detach?host=r1", "POST /_receivers/detach?host=r9", "GET /_vars"):
            response_text = await exchange(program.console_address, line.encode() + b" HTTP/1.1\r\n\r\n")
            console[line] = re.sub(r'"(dispatches|targets_disabled)":\d', r'"\1":N', response_text)
        recorded["console"] = console
        status = json.loads(await request_status(control))
        recorded["status"] = shape(status | {"version": "masked", "pid": 0})
        recorded["lines"] = len(status["lines"])

    with tempfile.TemporaryDirectory() as control_folder:
        control = Path(control_folder) / "control"
        complete_program.run_program(Path(folder), use_program, control)
    return json.loads(json.dumps(recorded))


async def request_status(path):
    connection = await asyncio.open_unix_connection(str(path))
    response_text = await converse(*connection, b'{"ask":"status"}\n', {"answer": "x", "connection_ended": True})
    return response_text["answer"]
