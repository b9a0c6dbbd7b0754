"""`python -m dewpin`: the command line, with a shorter way to a plain sender.

A plain `run` imports only what a sender needs: while a sender restarts it is out of service.
"""

import sys


def main() -> int:
    """Run the command line's arguments; return the exit code."""
    if sys.argv[1:] == ["run"]:
        from .daemon.process import main as run

        return run()
    from .cli.main import main as command

    return command()


if __name__ == "__main__":
    sys.exit(main())
