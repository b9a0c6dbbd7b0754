"""Compares two source trees of the sender: time from start to ready, memory, CPU time per message.

    git worktree add /tmp/before COMMIT && (cd /tmp/before && sh -c "$(its build command)")
    .venv/bin/python benchmarks/compare.py --before /tmp/before

Starts the two alternately, A B A B, on loopback with the stand-ins of the tests, and prints the median of each figure
and the median of the ratios of the pairs. Each tree runs with its own `.venv` and its own `run` command in
deploy/balancer.toml. Writes only to a temporary folder; does not check the results against limits.
"""

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT)]
from driver import Platform, Sender, read_message  # noqa: E402

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def process_usage(pid):
    """Return CPU time in ms and resident memory in kB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000.0 / CLOCK_TICKS_PER_S, int(fields[21]) * os.sysconf(
        "SC_PAGE_SIZE"
    ) / 1024.0


def free_port():
    import socket

    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


async def run_once(tree, mails, clients, flags):
    """Run a sender until it has forwarded all messages; return its figures by name."""
    outside = await Platform().open(3)
    with tempfile.TemporaryDirectory() as folder:
        configuration = Sender(outside, Path(folder)).config
        port = free_port()
        configuration["listen"] = f"127.0.0.1:{port}"
        configuration["settings"]["Allowed"]["MaxOpen"] = 10_000
        configuration["settings"]["FamilyInfo"]["CallSlots"] = 64
        (Path(folder) / "config.json").write_text(json.dumps(configuration))
        command = tomllib.loads((tree / "deploy/balancer.toml").read_text())["run"] + flags
        environment = dict(os.environ, LB_CONFIG=f"{folder}/config.json", LB_STATE=f"{folder}/state")
        log = open(f"{folder}/log", "wb")
        start_s = time.perf_counter()
        process = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=tree, env=environment, stderr=log)
        try:
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
                    message = await read_message(reader)
                    writer.close()
                    if message and b" 200 " in message[0]:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.001)
            ready_ms = (time.perf_counter() - start_s) * 1000.0
            cpu_ready_ms, idle_kb = process_usage(process.pid)

            async def client(number):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                for index in range(mails // clients):
                    body = b"x" * 200
                    writer.write(
                        b"POST /api HTTP/1.1\r\nReq-Id: %d-%d\r\nReq-Kind: notice\r\n"
                        b"Req-Owner: acme\r\nReq-Deadline: 10\r\nX-Consignee: dest=7\r\n"
                        b"Idempotency-Key: t%d\r\nContent-Length: %d\r\n\r\n" % (number, index, index, len(body)) + body
                    )
                    assert b" 202 " in (await read_message(reader))[0]
                    await asyncio.sleep(0.02)
                writer.close()

            await asyncio.gather(*(client(number) for number in range(clients)))
            while len(outside.calls) < mails // clients * clients:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.2)
            cpu_ms, loaded_kb = process_usage(process.pid)
        finally:
            process.kill()
            await process.wait()
            for server in (*outside.servers, outside.agent):
                server.close()
            for writer in list(outside.connections):
                writer.transport.abort()
        return {
            "ready ms": ready_ms,
            "cpu to ready ms": cpu_ready_ms,
            "idle kB": idle_kb,
            "loaded kB": loaded_kb,
            "cpu/message us": (cpu_ms - cpu_ready_ms) * 1000.0 / mails,
        }


@click.command()
@click.option(
    "--before", required=True, type=click.Path(exists=True, path_type=Path), help="Source tree to compare with."
)
@click.option("--after", default=ROOT, type=click.Path(exists=True, path_type=Path), help="Source tree to compare.")
@click.option("--pairs", default=7, show_default=True)
@click.option("--mails", default=3000, show_default=True, help="Messages sent to each run.")
@click.option("--clients", default=10, show_default=True)
@click.option("--flags", default="", help="Additional arguments of the run command of --after.")
def main(before, after, pairs, mails, clients, flags):
    results = []
    for number in range(pairs + 1):
        pair = [asyncio.run(run_once(tree, mails, clients, extra)) for tree, extra in ((before, ""), (after, flags))]
        results += [pair] if number else []  # the first pair is a warm-up
    click.echo(f"{'':18}{'before':>10}{'after':>10}{'ratio':>8}   ({pairs} pairs, {mails} messages each)")
    for name in results[0][0]:
        before_values, after_values = ([pair[side][name] for pair in results] for side in (0, 1))
        ratio = statistics.median(b / a for a, b in zip(before_values, after_values, strict=True))
        click.echo(
            f"{name:18}{statistics.median(before_values):10.1f}{statistics.median(after_values):10.1f}{ratio:8.3f}"
        )


if __name__ == "__main__":
    main()
