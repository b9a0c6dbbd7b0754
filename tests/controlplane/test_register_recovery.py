"""Recovery of a register that permanently lost its majority, on real data directories, and its command line."""

import asyncio
import json

import pytest
from scripted.registers import Registers
from typer.testing import CliRunner

from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.recovery import VERSION_STEP, describe_replica, plan_recovery, recover
from dewpin.controlplane.register.system_state import put_configuration, set_initial_stores
from dewpin.controlplane.storage import Storage
from dewpin.tier_cli.commands import app

PROPOSE_TIMEOUT_S = 2.0


class RegistersOnDisk(Registers):
    """Registers on data directories. Member ids are those of the directories; addresses are single letters."""

    def __init__(self, root_dir, names="abc"):
        self.data_dirs = {name: root_dir / name for name in names}
        self.storages = {name: Storage(path) for name, path in self.data_dirs.items()}
        self.ids = {name: storage.incarnation for name, storage in self.storages.items()}
        super().__init__(names, names)
        self.disks = self.storages
        members = {self.ids[name]: name for name in names}
        self.initial_state["members"] = self.initial_state["former_members"] = members
        self.initial_state["names"] = {self.ids[name]: f"machine-{name}" for name in names}

    def _member(self, name):
        self.disks = getattr(self, "storages", self.disks)
        register = super()._member(name)
        register.acceptor.member = register.member = self.ids[name]
        return register

    async def begin(self):
        for name, member in self.members.items():
            await member.load()
            await member.bootstrap(self.initial_state)

    async def start_with_configuration(self):
        await self.begin()
        stores = {self.ids[name]: name for name in self.data_dirs}
        names = dict(self.initial_state["names"])
        await self.members["a"].propose(set_initial_stores(stores, names), PROPOSE_TIMEOUT_S)
        await self.members["a"].propose(put_configuration(b"{}", 7, 0), PROPOSE_TIMEOUT_S)
        await asyncio.sleep(0.05)  # until the accept request to the third member has arrived as well

    def close(self, names=None):
        for name in names or self.data_dirs:
            self.storages[name].close()

    def restart_storage(self, name):
        self.storages[name] = Storage(self.data_dirs[name])
        self.ids[name] = self.storages[name].incarnation


def read(state):
    return state


def generation_of(state):
    return state["configuration"]["generation"]


@pytest.fixture
def registers(tmp_path):
    """Three stopped members with the configuration of generation 7."""
    registers = RegistersOnDisk(tmp_path)
    asyncio.run(registers.start_with_configuration())
    registers.close()
    return registers


def run_command(*arguments):
    return CliRunner().invoke(app, ["register", *map(str, arguments)])


def snapshot(data_dir):
    """Returns all rows that a recovery may change."""
    storage = Storage(data_dir)

    async def rows():
        return [await storage.query(f"SELECT * FROM {table}") for table in ("register_replica", "meta")]

    try:
        return asyncio.run(rows())
    finally:
        storage.close()


def test_recovered_survivor_serves_its_state(registers):
    lost = [registers.ids["b"], registers.ids["c"]]
    plan = recover(registers.data_dirs["a"], lost)
    assert plan.remaining_stores == (registers.ids["a"],)
    registers.restart_storage("a")

    async def scenario():
        registers.network.down |= {"b", "c"}
        member = await registers.restart("a")
        state = await member.propose(read, PROPOSE_TIMEOUT_S)
        changed = await member.propose(put_configuration(b'{"x":1}', 8, 7), PROPOSE_TIMEOUT_S)
        return state, changed

    state, changed = asyncio.run(scenario())
    registers.close("a")
    assert generation_of(state) == 7 and generation_of(changed) == 8
    assert registers.ids["a"] not in lost and state["version"] >= VERSION_STEP
    assert state["members"] == {registers.ids["a"]: "a"}
    assert state["stores"]["stable"] == {registers.ids["a"]: "a"} and state["stores"]["next"] is None


def test_survivor_without_recovery_serves_nothing(registers):
    registers.restart_storage("a")

    async def scenario():
        registers.network.down |= {"b", "c"}
        member = await registers.restart("a")
        with pytest.raises(RegisterUnavailableError):
            await member.propose(read, 0.3)

    asyncio.run(scenario())
    registers.close("a")


def test_other_survivor_remains_a_store_and_adopts_the_recovered_state(tmp_path):
    registers = RegistersOnDisk(tmp_path, "abcde")
    asyncio.run(registers.start_with_configuration())
    registers.close()
    recover(registers.data_dirs["a"], [registers.ids[name] for name in "cde"])
    for name in "ab":
        registers.restart_storage(name)

    async def scenario():
        registers.network.down |= set("cde")
        for name in "ab":
            await registers.restart(name)
        recovered = await registers.members["a"].propose(read, PROPOSE_TIMEOUT_S)
        await registers.members["b"].adopt_chosen(registers.members["a"].chosen_ballot, recovered, "a")
        return registers.members["b"].chosen

    state = asyncio.run(scenario())
    registers.close("ab")
    assert set(state["members"]) == {registers.ids["a"]} and generation_of(state) == 7
    assert set(state["stores"]["stable"]) == {registers.ids["a"], registers.ids["b"]}


def test_returning_lost_member_is_superseded(registers):
    lost = [registers.ids["b"], registers.ids["c"]]
    recover(registers.data_dirs["a"], lost)
    for name in "abc":
        registers.restart_storage(name)

    async def scenario():
        for name in "abc":
            await registers.restart(name)
        await registers.members["b"].propose(put_configuration(b'{"old":1}', 8, 7), PROPOSE_TIMEOUT_S)
        assert generation_of(registers.members["b"].chosen) == 8
        recovered = await registers.members["a"].propose(read, PROPOSE_TIMEOUT_S)
        await registers.members["b"].adopt_chosen(registers.members["a"].chosen_ballot, recovered, "a")
        return registers.members["b"].chosen

    state = asyncio.run(scenario())
    registers.close()
    assert set(state["members"]) == {registers.ids["a"]} and generation_of(state) == 7


def test_recovery_without_apply_prints_the_plan_and_writes_nothing(registers):
    before = snapshot(registers.data_dirs["a"])
    result = run_command(
        "recover", registers.data_dirs["a"], "--lost", registers.ids["b"], "--lost", registers.ids["c"], "--json"
    )
    assert result.exit_code == 0 and snapshot(registers.data_dirs["a"]) == before
    printed_plan = json.loads(result.stdout)
    assert (
        printed_plan["applied"] is False
        and printed_plan["remaining_stores"] == [registers.ids["a"]]
        and printed_plan["generation"] == 7
    )


def test_applied_recovery_is_logged_at_next_start(registers, caplog):
    lost = ["--lost", registers.ids["b"], "--lost", registers.ids["c"]]
    result = run_command("recover", registers.data_dirs["a"], *lost, "--apply")
    assert result.exit_code == 0 and result.stdout.startswith("recovered: version 2 becomes 1000002")
    registers.restart_storage("a")
    asyncio.run(registers.restart("a"))
    registers.close("a")
    (record,) = [record for record in caplog.records if record.message == "register.recovered"]
    assert record.plan["lost"] == sorted([registers.ids["b"], registers.ids["c"]])


def test_all_errors_of_a_request_are_reported_together_and_nothing_is_written(registers):
    before = snapshot(registers.data_dirs["a"])
    result = run_command(
        "recover", registers.data_dirs["a"], "--lost", "nobody", "--lost", registers.ids["a"], "--apply"
    )
    assert result.exit_code == 2 and snapshot(registers.data_dirs["a"]) == before
    lines = result.stderr.splitlines()
    assert lines[0].startswith("--lost nobody: expected one of ")
    assert lines[1] == f"--lost {registers.ids['a']}: expected a member other than this disk's own"
    assert lines[2].startswith("--lost: expected enough members that no majority remains; start ")


def test_recovery_is_rejected_while_a_majority_remains(registers):
    result = run_command("recover", registers.data_dirs["a"], "--lost", registers.ids["b"], "--apply")
    assert result.exit_code == 2 and "no majority remains" in result.stderr


def test_recovery_is_rejected_on_an_empty_disk(registers, tmp_path):
    registers.restart_storage("a")
    Storage(tmp_path / "new").close()
    result = run_command("recover", tmp_path / "new", "--lost", registers.ids["b"], "--apply")
    registers.close("a")
    assert result.exit_code == 2 and "this disk holds no state" in result.stderr


def test_recovery_is_rejected_while_the_control_server_is_running(registers):
    registers.restart_storage("a")
    result = run_command("show", registers.data_dirs["a"])
    registers.close("a")
    assert result.exit_code == 1 and "still runs; stop it first" in result.stderr


def test_recovery_creates_no_missing_database(tmp_path):
    result = run_command("recover", tmp_path / "none", "--lost", "x", "--apply")
    assert result.exit_code == 1 and not (tmp_path / "none").exists()


@pytest.mark.parametrize("damage", ["bytes", "marker"])
def test_damaged_database_is_left_unchanged(registers, damage):
    data_dir = registers.data_dirs["a"]
    if damage == "bytes":
        (data_dir / "keeper.sqlite3").write_bytes(b"no database at all" * 400)
    else:
        (data_dir / "keeper.damaged").touch()
    before = {path.name: path.read_bytes() for path in data_dir.iterdir()}
    result = run_command("recover", data_dir, "--lost", registers.ids["b"], "--lost", registers.ids["c"], "--apply")
    assert result.exit_code == 1 and str(data_dir) in result.stderr
    assert {path.name: path.read_bytes() for path in data_dir.iterdir()} == before


def test_interrupted_recovery_writes_nothing(registers, monkeypatch):
    before = snapshot(registers.data_dirs["a"])
    monkeypatch.setattr("dewpin.controlplane.register.recovery.json.dumps", _interrupt)
    with pytest.raises(KeyboardInterrupt):
        recover(registers.data_dirs["a"], [registers.ids["b"], registers.ids["c"]])
    monkeypatch.undo()
    assert snapshot(registers.data_dirs["a"]) == before


def _interrupt(*_, **__):
    raise KeyboardInterrupt


def test_replica_description_contains_machine_names(registers):
    description = describe_replica(registers.data_dirs["b"])
    assert description.is_member and description.version == 2 and description.generation == 7
    assert description.members == {registers.ids[name]: f"machine-{name}" for name in "abc"}
    assert (
        plan_recovery(registers.data_dirs["b"], [registers.ids["a"], registers.ids["c"]]).member == registers.ids["b"]
    )
    result = run_command("show", registers.data_dirs["b"])
    assert result.exit_code == 0 and f"store {registers.ids['c']} machine-c" in result.stdout
