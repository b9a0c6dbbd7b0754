"""Where a sender reads its configuration from, at its start and at each SIGHUP."""

import asyncio
import hashlib
import os
from collections.abc import Mapping, Sequence

from ..config import faults, keys, layers
from ..relay.facade import Facade

STABLE_READ_INTERVAL_SECONDS = 0.05  # between two readings of a configuration, which must agree
STABLE_READ_ATTEMPTS = 20


def dispatcher_seed(sender: keys.Sender) -> int:
    """Return the decision module's 64-bit seed, made of the configured seed and the sender's name.

    With the name in it, senders that share one configured seed do not make the same random choices.
    """
    name_hash = hashlib.blake2b(sender.name.encode(), digest_size=8).digest()
    return (int(sender.seed, 16) & 0xFFFFFFFFFFFFFFFF) ^ int.from_bytes(name_hash, "little")


class ConfigurationSource:
    """The layers of one process's configuration.

    Attributes:
        environment: environment variables.
        flags: `KEY=VALUE` texts of the command line.
        operator: path of the operator's TOML file, or None for the one that the environment names.
    """

    def __init__(self, environment: Mapping[str, str], flags: Sequence[str] = (), operator: str | None = None) -> None:
        self.environment = environment
        self.flags = flags
        self.operator = operator

    def read(self, ended: bool = False) -> layers.Reading:
        """Read and check the whole configuration, including what the decision module needs.

        `ended`: the operator's file must be closed by an `[end]` table. Raises Faulty with every fault found.
        """
        configuration = layers.read(self.environment, self.flags, self.operator, ended)
        try:
            Facade(configuration.module, dispatcher_seed(configuration.deployment.sender))
        except (KeyError, TypeError, ValueError) as error:
            file = os.path.basename(configuration.deployment.platform.file)
            words = f"the decision module lacks {error}" if isinstance(error, KeyError) else str(error)
            raise faults.Faulty([faults.Fault(file, "settings", words)]) from error
        return configuration

    async def read_stable(self, ended: bool) -> layers.Reading:
        """Read until two readings a moment apart agree, so that no file is taken while it is being written.

        Raises Faulty where the configuration is invalid or keeps changing.
        """
        previous: layers.Reading | list[faults.Fault] | None = None
        for _ in range(STABLE_READ_ATTEMPTS):
            current = self._read_or_faults(ended)
            if current == previous:
                break
            previous = current
            await asyncio.sleep(STABLE_READ_INTERVAL_SECONDS)
        else:
            words = "it still changes while it is read; send SIGHUP once it is whole"
            current = [faults.Fault("configuration", "", words)]
        if isinstance(current, list):
            raise faults.Faulty(current)
        return current

    def _read_or_faults(self, ended: bool) -> layers.Reading | list[faults.Fault]:
        try:
            return self.read(ended)
        except faults.Faulty as error:
            return error.faults
