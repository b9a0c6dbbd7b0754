"""Errors of the load test."""


class SenderStartError(RuntimeError):
    """The process of a sender ended, or was not ready in time."""


class DescriptorLimitError(OSError):
    """The limit on open file descriptors is too low for the scenario."""
