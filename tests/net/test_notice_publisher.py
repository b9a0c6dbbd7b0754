"""Notices to an agent that does not respond."""

import asyncio

from dewpin.net.notice_publisher import MAX_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS, AgentNoticePublisher
from driver import read_message, reply


def test_unanswered_notice_is_sent_again_on_another_connection_before_the_platforms_deadline(monkeypatch):
    pauses, timeouts = [], []

    async def scenario():
        received, acknowledged = [], []

        async def agent(reader, writer):
            while message := await read_message(reader):
                received.append(message[2])
                if len(received) > 3:
                    writer.write(reply(204))

        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        notices = AgentNoticePublisher(server.sockets[0].getsockname())
        exchange, sleep = notices._connection.exchange, asyncio.sleep

        def recording_exchange(request, timeout_seconds, connect_timeout_seconds):
            timeouts.append((timeout_seconds, connect_timeout_seconds))
            return exchange(request, timeout_seconds, connect_timeout_seconds)

        def recording_sleep(seconds):
            pauses.append(seconds)
            return sleep(seconds)

        monkeypatch.setattr(notices._connection, "exchange", recording_exchange)
        monkeypatch.setattr("dewpin.net.notice_publisher.asyncio.sleep", recording_sleep)
        notices.publish(b"m", False, 0.0, lambda: acknowledged.append(b"m"))
        while not acknowledged:
            await sleep(0.005)
        assert len(set(received)) == 1 and not notices.unacknowledged
        notices.publish(b"n", False, 0.0, lambda: acknowledged.append(b"n"))
        while len(acknowledged) < 2:
            await sleep(0.005)
        notices.stop()
        server.close()

    asyncio.run(scenario())
    assert timeouts[0] == timeouts[-1] == (MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS)  # reset for the next notice
    # a connection established just in time, a missing response, and the pause after it
    assert sum(timeouts[0]) + pauses[0] < 0.3
    assert [timeout for timeout, _ in timeouts[:4]] == [
        min(MIN_TIMEOUT_SECONDS * 2.0**retry, MAX_TIMEOUT_SECONDS) for retry in range(4)
    ]
    assert all(
        timeout / 8.0 <= pause <= 3.0 * timeout / 8.0 for (timeout, _), pause in zip(timeouts, pauses, strict=False)
    )
