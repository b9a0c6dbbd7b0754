"""Exceptions of the stand-ins."""


class StandinError(Exception):
    """Base class of the exceptions that this package raises."""


class AddressesExhaustedError(StandinError):
    """No loopback network, or no address in it, is free."""


class ConditionNotMetError(StandinError):
    """An awaited condition was not met in time, or can no longer be met."""


class DemonstrationError(StandinError):
    """A step of the demonstration did not have its guaranteed result."""


class FolderNotEmptyError(StandinError):
    """The folder chosen for the tier is not empty."""


class UnknownPageTokenError(StandinError):
    """A page token that was never issued or has expired."""
