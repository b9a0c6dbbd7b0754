"""Reading of a sender's configuration, at the start and at each SIGHUP."""

import asyncio
import hashlib
import os
from collections.abc import Mapping, Sequence

from ..config.errors import ConfigurationError, ConfigurationIssue
from ..config.loading import OPERATOR_FILE_VARIABLE, Configuration, load_configuration
from ..config.sections import Sender
from ..relay.facade import Facade

STABLE_READ_INTERVAL_SECONDS = 0.05  # between two reads of a configuration, which must be equal
STABLE_READ_ATTEMPTS = 20


def dispatcher_seed(sender: Sender) -> int:
    """Return the dispatcher's 64-bit seed, derived from the configured seed and the sender's name.

    The name makes senders with the same configured seed draw different random numbers.
    """
    name_hash = hashlib.blake2b(sender.name.encode(), digest_size=8).digest()
    return (int(sender.seed, 16) & 0xFFFFFFFFFFFFFFFF) ^ int.from_bytes(name_hash, "little")


class ConfigurationSource:
    """The sources of one process's configuration.

    Attributes:
        environment: environment variables.
        flags: `KEY=VALUE` strings from the command line.
        operator_path: path of the operator's TOML file, or None for the path in the environment.
    """

    def __init__(
        self, environment: Mapping[str, str], flags: Sequence[str] = (), operator_path: str | None = None
    ) -> None:
        self.environment = environment
        self.flags = flags
        self.operator_path = operator_path

    def read(self, must_end: bool = False) -> Configuration:
        """Read and validate the whole configuration, including the settings of the dispatcher.

        `must_end`: the operator's file must end with an `[end]` table. Raises ConfigurationError with all issues found.
        """
        configuration = load_configuration(self.environment, self.flags, self.operator_path, must_end)
        try:
            Facade(configuration.module, dispatcher_seed(configuration.deployment.sender))
        except (KeyError, TypeError, ValueError) as error:
            file = os.path.basename(configuration.deployment.platform.file)
            message = f"the decision module lacks {error}" if isinstance(error, KeyError) else str(error)
            raise ConfigurationError([ConfigurationIssue(file, "settings", message)]) from error
        return configuration

    async def read_stable(self, must_end: bool) -> Configuration:
        """Read repeatedly until two consecutive reads are equal, so that a partially written file is not applied.

        With `must_end`, an operator's file without an `[end]` table is also read again, up to the same number of
        attempts, as its writer may have paused. Raises ConfigurationError if the configuration is invalid or keeps
        changing.
        """
        previous: Configuration | list[ConfigurationIssue] | None = None
        current = self._read_or_issues(must_end)
        for _ in range(STABLE_READ_ATTEMPTS):
            if current == previous and not (must_end and self._is_operator_file_unfinished()):
                break
            await asyncio.sleep(STABLE_READ_INTERVAL_SECONDS)
            previous, current = current, self._read_or_issues(must_end)
        if current != previous:
            message = "it still changes while it is read; send SIGHUP when it is complete"
            raise ConfigurationError([ConfigurationIssue("configuration", "", message)])
        if isinstance(current, list):
            raise ConfigurationError(current)
        return current

    def _is_operator_file_unfinished(self) -> bool:
        path = self.operator_path or self.environment.get(OPERATOR_FILE_VARIABLE)
        if not path:
            return False
        # Imported here because it loads the TOML parser, which most senders do not need.
        from ..config.operator_file import is_unfinished

        return is_unfinished(path)

    def _read_or_issues(self, must_end: bool) -> Configuration | list[ConfigurationIssue]:
        try:
            return self.read(must_end)
        except ConfigurationError as error:
            return error.issues
