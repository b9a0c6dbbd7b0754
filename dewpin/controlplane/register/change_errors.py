"""Why a change of the system state is rejected."""

from __future__ import annotations

from dewpin.cluster.errors import DewpinError


class ChangeRejectedError(DewpinError):
    """The change is not allowed in the current state."""


class VersionMismatchError(ChangeRejectedError):
    """The operator's change is based on a configuration that is not the current one."""


class GenerationTooLowError(ChangeRejectedError):
    """The generation of the operator's change is not greater than the current one."""


class ChangeForgottenError(ChangeRejectedError):
    """The change is older than all changes listed in the state, so it may have been accepted before."""


class StateVersionChangedError(ChangeRejectedError):
    """The state no longer has the version that the change was planned for."""


class InvalidPatchError(ChangeRejectedError):
    """The patched configuration would be invalid; `errors` has one line per reason."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class UnknownMachineError(ChangeRejectedError):
    """No machine with a store has the requested name."""


class TooFewStoresRemainError(ChangeRejectedError):
    """Without the machine, too few stores would remain to tolerate the required number of failures."""
