"""Errors of the load test."""


class SenderStartError(RuntimeError):
    """A sender's process ended or was not ready in time."""


class DescriptorLimitError(OSError):
    """The limit of descriptors is too low for the scenario."""
