"""The watch on the list of receivers, as a fleet started at once meets an overbooked discovery."""
import asyncio

from dewpin.net.agent import FIRST_PAUSE, MOST_PAUSE, Watch, pause
from driver import Outside, reply, until


def test_the_pause_grows_falls_apart_by_chance_and_heeds_a_told_wait():
    assert [pause(refusals, 0.0, 0.0) for refusals in (1, 2, 3)] == [FIRST_PAUSE, 2 * FIRST_PAUSE, 4 * FIRST_PAUSE]
    assert pause(30, 0.0, 0.0) == MOST_PAUSE
    assert FIRST_PAUSE / 2 < pause(1, 0.0, 0.99) < FIRST_PAUSE
    assert pause(1, 1500.0, 0.5) == 1500.0 and pause(1, 60000.0, 0.0) == MOST_PAUSE


def test_a_refused_watch_is_asked_for_again_ever_later_and_from_its_revision():
    async def scene():
        outside = await Outside().open()
        outside.list_answer = reply(503)
        known = {"revision": 5, "members": outside.members}
        watch = Watch(outside.agent.sockets[0].getsockname()[:2], known, lambda entries, complete: None,
                      draw=lambda: 0.0)
        await until(lambda: len(outside.asked_at) >= 5)
        watch.channel.stop()
        gaps = [later - earlier for earlier, later in zip(outside.asked_at, outside.asked_at[1:], strict=False)]
        assert all(gap >= FIRST_PAUSE * 2 ** turn / 1000.0 for turn, gap in enumerate(gaps)), gaps
        assert all(one == "/api/targets?index=5&wait=20000" for one in outside.asked), outside.asked
        outside.agent.close()
    asyncio.run(scene())


def test_a_told_wait_of_an_overbooked_discovery_is_heeded():
    async def scene():
        outside = await Outside().open()
        outside.list_answer = reply(503, b"Retry-After: 0.6")
        watch = Watch(outside.agent.sockets[0].getsockname()[:2], None, lambda entries, complete: None)
        await until(lambda: len(outside.asked_at) >= 2)
        watch.channel.stop()
        assert outside.asked_at[1] - outside.asked_at[0] >= 0.6
        assert outside.asked == ["/api/targets"] * 2      # no revision yet: the whole list
        outside.agent.close()
    asyncio.run(scene())
