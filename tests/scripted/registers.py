"""Members of the register on a scripted network and storage in memory."""

import random

from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import initial_state
from scripted.disk import Disk
from scripted.network import Network


class Registers:
    """Members of a register, named by single letters that are also their addresses."""

    def __init__(self, names="abc", members="abc"):
        self.network = Network()
        self.disks = {name: Disk() for name in names}
        self.initial_state = initial_state(
            {name: name for name in members}, {name: f"machine-{name}" for name in members}
        )
        self.members = {}
        for name in names:
            self.members[name] = self._member(name)

    def _member(self, name):
        register = SystemRegister(name, name, self.disks[name], self.network.client(name), random.Random(name))
        self.network.handlers[name] = register.handlers
        return register

    async def begin(self):
        for member in self.members.values():
            await member.load()
        for name in self.initial_state["members"]:
            await self.members[name].bootstrap(self.initial_state)

    async def restart(self, name, wiped=False):
        """Start a member's process again, from its storage or (as a member with a new ID) from an empty one."""
        if wiped:
            self.disks[name] = Disk()
        self.members[name] = self._member(name)
        await self.members[name].load()
        return self.members[name]
