"""A sender started as by an operator."""

from golden.sender_api.text_encoding import text

import driver


def run_program(folder, use, control_path):
    """Run `use(program)` with a sender started as by an operator, two receivers of one destination and the agent."""

    async def scenario(platform, sender):
        sender.arguments = ["--set", f"control.socket={control_path}"]
        await sender.start()
        await use(Program(platform, sender))

    driver.run_scenario(folder, scenario, receivers=2, start=False)


class Program:
    def __init__(self, platform, sender):
        self.platform, self.sender = platform, sender
        self.console_address = sender.console
        self.client_address = sender.address

    def respond_to_calls(self, respond):
        """`respond(id)` returns the bytes of a response, "reset", or None for no response."""
        self.platform.script = lambda call: respond(text(call[0]))

    def called_ids(self):
        return [text(ident) for ident in self.platform.message_ids()]

    def notices(self):
        return self.platform.notices

    async def wait_until(self, condition):
        await driver.wait_until(condition)
