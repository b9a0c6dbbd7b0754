"""A file of shell variables with the addresses of a running tier, to be sourced with `. FILE`."""

from pathlib import Path

from .tier import LocalTier

ADDRESS_FILE = "addresses.sh"


def address_variables(tier: LocalTier) -> dict[str, str]:
    """Return the variables: addresses and process ids of all machines, and the address of the platform."""
    variables = {"PLATFORM": tier.platform_address}
    for number, control_server in enumerate(tier.control_servers, 1):
        variables[f"CONTROL_SERVER_{number}"] = control_server.operator_address
        variables[f"CONTROL_SERVER_{number}_PID"] = str(control_server.process.pid)
    for number, sender in enumerate(tier.senders, 1):
        variables[f"SENDER_{number}"] = sender.client_address
        variables[f"SENDER_{number}_READY"] = sender.readiness_address
        variables[f"SENDER_{number}_PID"] = str(sender.process.pid)
    return variables


def write_address_file(tier: LocalTier) -> Path:
    """Write the file into the tier's folder and return its path."""
    path = tier.folder / ADDRESS_FILE
    lines = [f"{name}={value}\n" for name, value in address_variables(tier).items()]
    path.write_text("".join(lines), encoding="utf-8")
    return path
