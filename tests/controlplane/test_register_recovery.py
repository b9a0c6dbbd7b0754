"""Recovery of a register whose majority is lost for good: on real data directories, and its command line."""

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

WAIT_S = 2.0


class World(Registers):
    """Registers on data directories. Ids of members are those of the directories; addresses are single letters."""

    def __init__(self, folder, names="abc"):
        self.folders = {name: folder / name for name in names}
        self.storages = {name: Storage(path) for name, path in self.folders.items()}
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

    async def begin_with_configuration(self):
        await self.begin()
        stores = {self.ids[name]: name for name in self.folders}
        names = dict(self.initial_state["names"])
        await self.members["a"].propose(set_initial_stores(stores, names), WAIT_S)
        await self.members["a"].propose(put_configuration(b"{}", 7, 0), WAIT_S)
        await asyncio.sleep(0.05)  # the accept of the third member, too, has arrived

    def close(self, names=None):
        for name in names or self.folders:
            self.storages[name].close()

    def restart_storage(self, name):
        self.storages[name] = Storage(self.folders[name])
        self.ids[name] = self.storages[name].incarnation


def read(state):
    return state


def generation_of(state):
    return state["configuration"]["generation"]


@pytest.fixture
def world(tmp_path):
    """Three members that hold generation 7, stopped."""
    made = World(tmp_path)
    asyncio.run(made.begin_with_configuration())
    made.close()
    return made


def run_command(*arguments):
    return CliRunner().invoke(app, ["register", *map(str, arguments)])


def snapshot(folder):
    """All rows that a recovery may touch."""
    storage = Storage(folder)

    async def rows():
        return [await storage.query(f"SELECT * FROM {table}") for table in ("register_replica", "meta")]

    try:
        return asyncio.run(rows())
    finally:
        storage.close()


def test_survivor_of_a_lost_majority_serves_what_it_holds(world):
    lost = [world.ids["b"], world.ids["c"]]
    plan = recover(world.folders["a"], lost)
    assert plan.remaining_stores == (world.ids["a"],)
    world.restart_storage("a")

    async def scene():
        world.network.down |= {"b", "c"}
        member = await world.restart("a")
        state = await member.propose(read, WAIT_S)
        changed = await member.propose(put_configuration(b'{"x":1}', 8, 7), WAIT_S)
        return state, changed

    state, changed = asyncio.run(scene())
    world.close("a")
    assert generation_of(state) == 7 and generation_of(changed) == 8
    assert world.ids["a"] not in lost and state["version"] >= VERSION_STEP
    assert state["members"] == {world.ids["a"]: "a"}
    assert state["stores"]["stable"] == {world.ids["a"]: "a"} and state["stores"]["next"] is None


def test_without_recovery_the_survivor_serves_nothing(world):
    world.restart_storage("a")

    async def scene():
        world.network.down |= {"b", "c"}
        member = await world.restart("a")
        with pytest.raises(RegisterUnavailableError):
            await member.propose(read, 0.3)

    asyncio.run(scene())
    world.close("a")


def test_other_survivor_stays_a_store_and_follows_the_recovered_member(tmp_path):
    world = World(tmp_path, "abcde")
    asyncio.run(world.begin_with_configuration())
    world.close()
    recover(world.folders["a"], [world.ids[name] for name in "cde"])
    for name in "ab":
        world.restart_storage(name)

    async def scene():
        world.network.down |= set("cde")
        for name in "ab":
            await world.restart(name)
        recovered = await world.members["a"].propose(read, WAIT_S)
        await world.members["b"].adopt_chosen(world.members["a"].chosen_ballot, recovered, "a")
        return world.members["b"].chosen

    state = asyncio.run(scene())
    world.close("ab")
    assert set(state["members"]) == {world.ids["a"]} and generation_of(state) == 7
    assert set(state["stores"]["stable"]) == {world.ids["a"], world.ids["b"]}


def test_lost_member_that_comes_back_is_overruled(world):
    lost = [world.ids["b"], world.ids["c"]]
    recover(world.folders["a"], lost)
    for name in "abc":
        world.restart_storage(name)

    async def scene():
        for name in "abc":
            await world.restart(name)
        await world.members["b"].propose(put_configuration(b'{"old":1}', 8, 7), WAIT_S)
        assert generation_of(world.members["b"].chosen) == 8
        recovered = await world.members["a"].propose(read, WAIT_S)
        await world.members["b"].adopt_chosen(world.members["a"].chosen_ballot, recovered, "a")
        return world.members["b"].chosen

    state = asyncio.run(scene())
    world.close()
    assert set(state["members"]) == {world.ids["a"]} and generation_of(state) == 7


def test_recovery_without_apply_tells_the_plan_and_writes_nothing(world):
    before = snapshot(world.folders["a"])
    done = run_command("recover", world.folders["a"], "--lost", world.ids["b"], "--lost", world.ids["c"], "--json")
    assert done.exit_code == 0 and snapshot(world.folders["a"]) == before
    told = json.loads(done.stdout)
    assert told["applied"] is False and told["remaining_stores"] == [world.ids["a"]] and told["generation"] == 7


def test_applied_recovery_is_recorded_for_the_log_of_the_next_start(world, caplog):
    lost = ["--lost", world.ids["b"], "--lost", world.ids["c"]]
    done = run_command("recover", world.folders["a"], *lost, "--apply")
    assert done.exit_code == 0 and done.stdout.startswith("recovered: version 2 becomes 1000002")
    world.restart_storage("a")
    asyncio.run(world.restart("a"))
    world.close("a")
    (record,) = [record for record in caplog.records if record.message == "register.recovered"]
    assert record.plan["lost"] == sorted([world.ids["b"], world.ids["c"]])


def test_every_fault_of_a_request_is_told_at_once_and_nothing_is_written(world):
    before = snapshot(world.folders["a"])
    done = run_command("recover", world.folders["a"], "--lost", "nobody", "--lost", world.ids["a"], "--apply")
    assert done.exit_code == 2 and snapshot(world.folders["a"]) == before
    lines = done.stderr.splitlines()
    assert lines[0].startswith("--lost nobody: expected one of ")
    assert lines[1] == f"--lost {world.ids['a']}: expected another member than this disk's own"
    assert lines[2].startswith("--lost: expected so many that no majority remains; start ")


def test_recovery_is_refused_while_a_majority_remains(world):
    done = run_command("recover", world.folders["a"], "--lost", world.ids["b"], "--apply")
    assert done.exit_code == 2 and "no majority remains" in done.stderr


def test_recovery_is_refused_on_the_disk_of_a_newcomer(world, tmp_path):
    world.restart_storage("a")
    Storage(tmp_path / "new").close()
    done = run_command("recover", tmp_path / "new", "--lost", world.ids["b"], "--apply")
    world.close("a")
    assert done.exit_code == 2 and "this disk holds no state" in done.stderr


def test_recovery_is_refused_while_the_control_server_runs(world):
    world.restart_storage("a")
    done = run_command("show", world.folders["a"])
    world.close("a")
    assert done.exit_code == 1 and "still runs; stop it first" in done.stderr


def test_recovery_makes_no_database_where_there_is_none(tmp_path):
    done = run_command("recover", tmp_path / "none", "--lost", "x", "--apply")
    assert done.exit_code == 1 and not (tmp_path / "none").exists()


@pytest.mark.parametrize("damage", ["bytes", "marker"])
def test_damaged_database_is_left_as_it_is(world, damage):
    folder = world.folders["a"]
    if damage == "bytes":
        (folder / "keeper.sqlite3").write_bytes(b"no database at all" * 400)
    else:
        (folder / "keeper.damaged").touch()
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    done = run_command("recover", folder, "--lost", world.ids["b"], "--lost", world.ids["c"], "--apply")
    assert done.exit_code == 1 and str(folder) in done.stderr
    assert {path.name: path.read_bytes() for path in folder.iterdir()} == before


def test_recovery_is_atomic_when_it_is_interrupted(world, monkeypatch):
    before = snapshot(world.folders["a"])
    monkeypatch.setattr("dewpin.controlplane.register.recovery.json.dumps", _interrupt)
    with pytest.raises(KeyboardInterrupt):
        recover(world.folders["a"], [world.ids["b"], world.ids["c"]])
    monkeypatch.undo()
    assert snapshot(world.folders["a"]) == before


def _interrupt(*_, **__):
    raise KeyboardInterrupt


def test_replica_is_described_with_the_names_of_its_machines(world):
    found = describe_replica(world.folders["b"])
    assert found.is_member and found.version == 2 and found.generation == 7
    assert found.members == {world.ids[name]: f"machine-{name}" for name in "abc"}
    assert plan_recovery(world.folders["b"], [world.ids["a"], world.ids["c"]]).member == world.ids["b"]
    done = run_command("show", world.folders["b"])
    assert done.exit_code == 0 and f"store {world.ids['c']} machine-c" in done.stdout
