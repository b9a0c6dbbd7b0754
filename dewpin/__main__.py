"""Entry point of `dewpin` and `python -m dewpin`.

`run` without options bypasses the command line and imports only what a sender needs, as the sender is unavailable
during a restart.
"""

import sys


def main() -> int:
    """Run the command in the arguments of the process and return the exit code."""
    if sys.argv[1:2] == ["run"]:
        from .daemon.start_signals import record_reload_requests

        record_reload_requests()  # before the slow imports, which take most of the start
    if sys.argv[1:] == ["run"]:
        from .daemon.process import main as run_sender

        return run_sender()
    from .cli.main import main as run_command_line

    return run_command_line()


if __name__ == "__main__":
    sys.exit(main())
