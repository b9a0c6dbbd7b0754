"""The simulated environment of the senders under test: receivers, agents and links."""

import random
from collections.abc import Callable

from .agents import Agents, OnNotice
from .load_clock import LoadClock
from .receivers import Receivers
from .records import Submission
from .result_collector import ResultCollector
from .scenario import Scenario


class Environment:
    """All simulated parties that senders connect to. It owns every listening socket and connection of the test.

    Attributes:
        receivers: all receivers.
        agents: all agents.
    """

    def __init__(
        self,
        scenario: Scenario,
        collector: ResultCollector,
        clock: LoadClock,
        on_delivered: Callable[[Submission], None],
        on_notice: OnNotice,
    ) -> None:
        """Create an environment.

        Args:
            scenario: the load test.
            collector: records what receivers and agents observe.
            clock: clock of the test.
            on_delivered: called when a receiver has responded with 200 to a call of a submission.
            on_notice: called with each notice.
        """
        self._scenario = scenario
        random_source = random.Random(scenario.seed)
        self.receivers = Receivers(scenario, collector, random_source, clock, on_delivered)
        self.agents = Agents(scenario.senders.count, self.receivers, collector, random_source, clock, on_notice)

    async def open(self) -> None:
        """Open all receivers and agents."""
        for destination in range(self._scenario.receivers.destinations):
            for _ in range(self._scenario.receivers.receivers_per_destination):
                await self.receivers.add(destination, 0.0)
        await self.agents.open()

    def close(self) -> None:
        """Close all listeners and connections."""
        self.receivers.close()
        self.agents.close()
