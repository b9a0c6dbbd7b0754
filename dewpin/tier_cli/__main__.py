"""Entry point of `dewpin-tier` and `python3 -m dewpin.tier_cli`. Dependencies are imported only when it runs."""

import sys

from .exit_codes import ExitCode


def main() -> None:
    """Run the command line; exit with an error message if a dependency is not installed."""
    try:
        from .commands import app
    except ModuleNotFoundError as error:
        print(f"{error.name} is not installed: the command line needs dewpin[tier]", file=sys.stderr)
        raise SystemExit(ExitCode.FILE_ERROR) from None
    app(prog_name="dewpin-tier")


if __name__ == "__main__":
    main()
