"""Exceptions of the stand-ins."""


class StandinError(Exception):
    """Base class of the exceptions that this package raises."""


class AddressesExhaustedError(StandinError):
    """No loopback network, or no address in it, is free."""


class ConditionNotMetError(StandinError):
    """A condition that was awaited did not become true in time, or can no longer become true."""


class DemonstrationError(StandinError):
    """A step of the demonstration did not have the effect that the tier guarantees."""


class FolderNotEmptyError(StandinError):
    """The folder chosen for the tier has files in it."""


class UnknownPageTokenError(StandinError):
    """A page token that the list did not issue, or that has expired."""
