"""`python3 -m dewpin.standin`: the tier on one machine, or one of its stand-ins."""

import argparse
import json
import signal
import sys
import time
from pathlib import Path
from typing import NoReturn, cast

from dewpin.cluster.rpc import split_address

from .demonstration import FOREVER, DemonstrationFailed, FolderInUse, Loss, TierOptions, run_tier
from .http_service import wait_for_signal
from .instances import CallRate, Instance, InstanceEntry, InstanceList
from .platform import Platform, SenderHealth
from .receiver import ReceiverOptions, ReceiverServer
from .waiting import WaitFailed

FAILED = 1


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="python3 -m dewpin.standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    tier = commands.add_parser("tier", help="run the whole tier on this machine and show what it does")
    tier.add_argument("--keep", action="store_true", help="go on until Ctrl-C")
    tier.add_argument("--seconds", type=float, help="go on for so long, or until Ctrl-C")
    tier.add_argument(
        "--kill", choices=[loss.value for loss in Loss], help="show a loss: of a control server, or of its data"
    )
    tier.add_argument("--folder", type=Path, help="an empty folder for settings, data and logs, which stays")
    platform = commands.add_parser("platform", help="run a stand-in platform")
    platform.add_argument("--listen", required=True, help="ip:port")
    platform.add_argument("--instances", type=Path, required=True, help="JSON file with the receivers to list")
    platform.add_argument("--lag-ms", type=float, default=0.0, help="how late the list shows a change")
    platform.add_argument("--rate", type=float, default=50.0, help="calls a second that the list grants")
    platform.add_argument("--ask-every-s", type=float, default=1.0, help="how often senders are asked for readiness")
    platform.add_argument("--sender", action="append", default=[], help="ip:port at which a sender tells its readiness")
    receiver = commands.add_parser("receiver", help="run a stand-in receiver")
    receiver.add_argument("--listen", required=True, help="ip:port")
    receiver.add_argument("--id", required=True)
    receiver.add_argument("--backend", default="", help="the service that it belongs to")
    receiver.add_argument("--slots", type=int, default=4, help="requests that run at once")
    receiver.add_argument("--queue", type=int, default=4, help="requests that wait for a slot")
    receiver.add_argument("--work-ms", type=float, default=10.0, help="time that a plain request takes")
    receiver.add_argument("--stream", action="store_true", help="answer by a stream of events")
    receiver.add_argument("--event-ms", type=float, default=20.0, help="pause before each event")
    receiver.add_argument("--chunk-size", type=int, default=10, help="tokens in each event")
    return parser


def run_platform(options: argparse.Namespace) -> None:
    """Serve as the platform until SIGTERM."""
    instances = InstanceList(options.lag_ms / 1000)
    for entry in cast(list[InstanceEntry], json.loads(options.instances.read_text(encoding="utf-8"))):
        instance = Instance(entry["id"], entry["backend"], entry["address"], entry["zone"], entry["capacity"])
        instances.put(instance, time.monotonic())
    platform = Platform(
        split_address(options.listen),
        instances,
        SenderHealth(options.sender),
        CallRate(options.rate),
        options.ask_every_s,
    )
    platform.start()
    wait_for_signal()
    platform.stop()


def run_receiver(options: argparse.Namespace) -> None:
    """Serve as a receiver until SIGTERM."""
    receiver = ReceiverServer(
        split_address(options.listen),
        ReceiverOptions(
            options.id,
            options.backend,
            options.slots,
            options.queue,
            options.work_ms,
            options.stream,
            options.event_ms,
            options.chunk_size,
        ),
    )
    receiver.start()
    wait_for_signal()
    receiver.stop()


def show_tier(options: argparse.Namespace) -> int:
    """Run the tier and return the exit code; Ctrl-C and SIGTERM end it in good order."""
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        run_tier(tier_options(options), _say)
    except KeyboardInterrupt:
        _say("interrupted; all processes are ended")
    except (DemonstrationFailed, FolderInUse, WaitFailed) as fault:
        _say(f"FAILED: {fault}")
        return FAILED
    return 0


def tier_options(options: argparse.Namespace) -> TierOptions:
    """Return what the options of `tier` ask for; `--seconds` bounds `--keep`."""
    seconds = options.seconds
    if seconds is None:
        seconds = FOREVER if options.keep else 0.0
    return TierOptions(options.folder, seconds, None if options.kill is None else Loss(options.kill))


def main() -> int:
    """Run one command; return its exit code."""
    options = build_parser().parse_args()
    if options.command == "tier":
        return show_tier(options)
    if options.command == "platform":
        run_platform(options)
    else:
        run_receiver(options)
    return 0


def _interrupt(*_: object) -> NoReturn:
    raise KeyboardInterrupt


def _say(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
