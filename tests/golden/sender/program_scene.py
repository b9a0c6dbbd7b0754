"""One run of the whole program, of which all that it says is kept: to clients, the agent, operators and the status."""

import asyncio
import json
import re
import tempfile
from pathlib import Path

from golden import sender_api
from golden.sender.wire_scenes import answer, converse, hand_in

BY_THE_CLOCK = {"health", "usual_ms", "pace", "trickle"}  # which receiver a call goes to depends on the time of day
KINDS = {"good": "notice", "broken": "charge", "told": "status", "held": "notice", "unknown": "of no class"}


def call_answers(ident):
    """What receivers answer to the call of a message."""
    if ident == "told":
        return answer(429, b"Retry-After: 5")
    return {"good": answer(200), "broken": "reset"}.get(ident)


def shape(value):
    """Keys in their order, texts as they are, and the kind of numbers."""
    if isinstance(value, dict):
        return [[key, "masked" if key in BY_THE_CLOCK else shape(held)] for key, held in value.items()]
    if isinstance(value, list):
        return [shape(one) for one in value]
    if isinstance(value, str) or value is None:
        return value
    return type(value).__name__


def play(folder):
    """The facts of the run, with what differs from run to run left out."""
    facts = {}

    async def scene(program):
        async def exchange(address, content):
            connection = await asyncio.open_connection(*address)
            # each of these ends the connection
            return (await converse(*connection, content, {"answer": "x", "connection_ended": True}))["answer"]

        async def client(ident):
            deadline = b"0.4" if ident == "told" else b"9"
            content = hand_in(
                b"Connection: close", Req_Id=ident.encode(), Req_Kind=KINDS[ident].encode(), Req_Deadline=deadline
            )
            return await exchange(program.client_address, content)

        program.answer_calls(call_answers)
        clients = {}
        for ident in ("good", "broken", "told", "held"):
            clients[ident] = await client(ident)
            await program.wait_until(lambda ident=ident: ident in program.called() or ident == "held")
            if ident in ("broken", "told"):
                await program.wait_until(lambda ident=ident: any(one["message"] == ident for one in program.notices()))
        for ident in ("good", "unknown"):
            clients[f"{ident} again"] = await client(ident)
        facts["clients"] = clients
        facts["notices"] = [
            {key: value if key != "retry_in_ms" else type(value).__name__ for key, value in one.items()}
            for one in program.notices()
        ]
        console = {}
        for line in ("GET /_ready", "POST /_receivers/detach?host=r1", "POST /_receivers/detach?host=r9", "GET /_vars"):
            said = await exchange(program.console_address, line.encode() + b" HTTP/1.1\r\n\r\n")
            console[line] = re.sub(r'"(dispatches|targets_disabled)":\d', r'"\1":N', said)
        facts["console"] = console
        status = json.loads(await ask_status(control))
        facts["status"] = shape(status | {"version": "masked", "pid": 0})
        facts["lines"] = len(status["lines"])

    with tempfile.TemporaryDirectory() as other:
        control = Path(other) / "control"
        sender_api.play_program(Path(folder), scene, control)
    return json.loads(json.dumps(facts))


async def ask_status(path):
    connection = await asyncio.open_unix_connection(str(path))
    said = await converse(*connection, b'{"ask":"status"}\n', {"answer": "x", "connection_ended": True})
    return said["answer"]
