"""`python3 -m dewpin.tier_cli`: runs the command line, whose library is loaded only here."""

import sys

from .exit_codes import ExitCode


def main() -> None:
    """Run the command line; the entry point `dewpin-tier`."""
    try:
        from .commands import app
    except ModuleNotFoundError as error:
        print(f"{error.name} is not installed: the command line needs dewpin[tier]", file=sys.stderr)
        raise SystemExit(ExitCode.UNREADABLE) from None
    app(prog_name="dewpin-tier")


if __name__ == "__main__":
    main()
