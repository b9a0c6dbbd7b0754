"""`python -m dewpin`: a sender by the shortest way, everything else by the command line.

It owns that one choice: a plain `run` imports nothing that a sender does not need, since a restarted one is out of
service meanwhile.
"""
import sys


def main():
    if sys.argv[1:] == ["run"]:
        from .daemon.process import main as run
        return run()
    from .cli.main import main as command
    return command()


if __name__ == "__main__":
    sys.exit(main())
