"""`python3 -m dewpin.standin`: runs the tier on one machine, or one of its stand-ins."""

import argparse
import json
import signal
import sys
import time
from pathlib import Path
from typing import NoReturn, cast

from dewpin.cluster.rpc import split_address

from .call_rate_limiter import CallRateLimiter
from .demonstration import FOREVER, InjectedFault, TierOptions, run_tier
from .errors import ConditionNotMetError, DemonstrationError, FolderNotEmptyError
from .http_server import wait_for_stop_signal
from .instances import Instance, InstanceEntry, InstanceList
from .platform_server import PlatformServer
from .receiver import ReceiverOptions, ReceiverServer
from .sender_health import SenderHealth

EXIT_FAILURE = 1


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="python3 -m dewpin.standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    _add_tier_options(commands.add_parser("tier", help="run the whole tier on this machine and demonstrate it"))
    _add_platform_options(commands.add_parser("platform", help="run a stand-in platform"))
    _add_receiver_options(commands.add_parser("receiver", help="run a stand-in receiver"))
    return parser


def run_platform(options: argparse.Namespace) -> None:
    """Run the platform until SIGTERM or SIGINT."""
    instances = InstanceList(options.lag_ms / 1000)
    for entry in cast(list[InstanceEntry], json.loads(options.instances.read_text(encoding="utf-8"))):
        instance = Instance(entry["id"], entry["backend"], entry["address"], entry["zone"], entry["capacity"])
        instances.put(instance, time.monotonic())
    platform = PlatformServer(
        split_address(options.listen),
        instances,
        SenderHealth(options.sender),
        CallRateLimiter(options.rate),
        options.ask_every_s,
    )
    platform.start()
    wait_for_stop_signal()
    platform.stop()


def run_receiver(options: argparse.Namespace) -> None:
    """Run a receiver until SIGTERM or SIGINT."""
    receiver_options = ReceiverOptions(
        id=options.id,
        backend=options.backend,
        slots=options.slots,
        max_waiting=options.queue,
        work_ms=options.work_ms,
        is_streaming=options.stream,
        event_ms=options.event_ms,
        chunk_size=options.chunk_size,
    )
    receiver = ReceiverServer(split_address(options.listen), receiver_options)
    receiver.start()
    wait_for_stop_signal()
    receiver.stop()


def run_tier_command(options: argparse.Namespace) -> int:
    """Run the tier and return the exit code; Ctrl-C and SIGTERM end all its processes."""
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        run_tier(tier_options(options), _print_line)
    except KeyboardInterrupt:
        _print_line("interrupted; all processes have ended")
    except (DemonstrationError, FolderNotEmptyError, ConditionNotMetError) as error:
        _print_line(f"FAILED: {error}")
        return EXIT_FAILURE
    return 0


def tier_options(options: argparse.Namespace) -> TierOptions:
    """Return the options of `tier`; `--seconds` limits `--keep`."""
    seconds = options.seconds
    if seconds is None:
        seconds = FOREVER if options.keep else 0.0
    return TierOptions(options.folder, seconds, None if options.kill is None else InjectedFault(options.kill))


def main() -> int:
    """Run one command; return its exit code."""
    options = build_parser().parse_args()
    if options.command == "tier":
        return run_tier_command(options)
    if options.command == "platform":
        run_platform(options)
    else:
        run_receiver(options)
    return 0


def _add_tier_options(parser: argparse.ArgumentParser) -> None:
    faults = [fault.value for fault in InjectedFault]
    parser.add_argument("--keep", action="store_true", help="keep running until Ctrl-C")
    parser.add_argument("--seconds", type=float, help="keep running for this number of seconds, or until Ctrl-C")
    parser.add_argument("--kill", choices=faults, help="kill a control server; store: also remove its data")
    parser.add_argument("--folder", type=Path, help="an empty folder for settings, data and logs; it is kept")


def _add_platform_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument("--instances", type=Path, required=True, help="JSON file with the receivers to list")
    parser.add_argument("--lag-ms", type=float, default=0.0, help="delay until a change is visible in the list")
    parser.add_argument("--rate", type=float, default=50.0, help="maximum list calls per second")
    parser.add_argument("--ask-every-s", type=float, default=1.0, help="interval of readiness probes")
    parser.add_argument("--sender", action="append", default=[], help="ip:port of a sender's readiness endpoint")


def _add_receiver_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument("--id", required=True)
    parser.add_argument("--backend", default="", help="service of the receiver")
    parser.add_argument("--slots", type=int, default=4, help="maximum concurrent requests")
    parser.add_argument("--queue", type=int, default=4, help="maximum requests waiting for a slot")
    parser.add_argument("--work-ms", type=float, default=10.0, help="duration of a plain request")
    parser.add_argument("--stream", action="store_true", help="respond with a stream of events")
    parser.add_argument("--event-ms", type=float, default=20.0, help="pause before each event")
    parser.add_argument("--chunk-size", type=int, default=10, help="tokens in each event")


def _interrupt(*_: object) -> NoReturn:
    raise KeyboardInterrupt


def _print_line(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
