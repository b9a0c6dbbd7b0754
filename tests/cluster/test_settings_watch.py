"""Reloading of the settings file of a running process."""

import pytest
from cluster import samples
from tier_log import recorded_events

from dewpin.cluster import settings_watch
from dewpin.cluster.settings import Cloud, load_settings
from dewpin.cluster.settings_watch import SettingsWatch, reloaded

OTHER_SEEDS = samples.SETTINGS.replace("10.1.0.34:8144", "10.1.0.99:8144")
OTHER_ADDRESSES = OTHER_SEEDS.replace("10.200.0.100:8142", "10.200.0.7:8142").replace("10.1.0.30", "10.1.0.31")


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "settings.toml"
    file.write_text(samples.SETTINGS)
    return file


@pytest.fixture
def events(monkeypatch):
    return recorded_events(monkeypatch, settings_watch)


def test_unchanged_file_gives_nothing(path):
    watch = SettingsWatch(path, load_settings(path))
    assert watch.poll() is None
    path.write_text(samples.SETTINGS)
    assert watch.poll() is None


def test_change_before_the_first_poll_is_found(path, events):
    running = load_settings(path)
    path.write_text(OTHER_SEEDS)
    changed = SettingsWatch(path, running).poll()
    assert changed is not None and changed.seeds[0] == "10.1.0.99:8144"


def test_reformatted_file_is_no_change(path, events):
    watch = SettingsWatch(path, load_settings(path))
    path.write_text("# written anew\n" + samples.SETTINGS)
    assert watch.poll() is None
    assert events == []


def test_change_is_returned_once(path, events):
    watch = SettingsWatch(path, load_settings(path))
    path.write_text(OTHER_SEEDS)
    changed = watch.poll()
    assert changed is not None and changed.seeds == ("10.1.0.99:8144", "10.2.0.38:8144")
    assert watch.poll() is None
    assert [event for event, _ in events] == ["settings_reloaded"]


@pytest.mark.parametrize("content", ["", "node_name = ", samples.SETTINGS.replace("10.1.0.34:8144", "nowhere")])
def test_invalid_file_is_logged_once_and_ignored(path, events, content):
    watch = SettingsWatch(path, load_settings(path))
    path.write_text(content)
    assert watch.poll() is None and watch.poll() is None
    assert [event for event, _ in events] == ["settings_rejected"]
    path.write_text(OTHER_SEEDS)
    assert watch.poll() is not None


def test_missing_file_is_no_change(path):
    watch = SettingsWatch(path, load_settings(path))
    path.unlink()
    assert watch.poll() is None
    path.write_text(samples.SETTINGS)
    assert watch.poll() is None


def test_reloaded_settings_take_seeds_and_platform_only(path):
    running = load_settings(path)
    path.write_text(OTHER_ADDRESSES)
    after = reloaded(running, load_settings(path))
    assert after.seeds == ("10.1.0.99:8144", "10.2.0.38:8144")
    assert after.cloud == Cloud("10.200.0.7:8142", 44.0, 800.0)
    assert (after.ip, after.listen) == (running.ip, running.listen)
