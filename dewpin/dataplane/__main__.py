"""`python3 -m dewpin.dataplane`: runs a sender with the settings file named by DEWPIN_BOOT."""

from dewpin.cluster.process.signals import ProcessSignals
from dewpin.cluster.process.standard_streams import open_missing_streams


def main() -> None:
    """Run the program; never return."""
    open_missing_streams()
    signals = ProcessSignals()
    # Imported only now: the imports take most of the start, and a signal during them must not end the process.
    from dewpin.cluster.process.program import run_program
    from dewpin.dataplane.sender_process import run_sender

    run_program(run_sender, signals)


if __name__ == "__main__":
    main()
