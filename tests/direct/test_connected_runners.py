"""The runners that a slot request names as connected."""

import socket
from dataclasses import replace

from bramleybend.clients.channel import OutgoingRequest
from bramleybend.direct.channels import MAX_CONNECTED_RUNNERS
from bramleybend.direct.models import RunnerEntry, RunnerState
from tests.utils.runner_channels import make_channels

RUNNER = RunnerEntry('r', 1, 'app', '127.0.0.1', 80, 'a', 4, RunnerState.READY)


async def test_only_free_connections_to_the_service_are_named() -> None:
    """Busy connections, and those to other services, are not named."""
    channels = make_channels()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        runners = [
            replace(RUNNER, name=f'r{number}', port=port)
            for number in range(MAX_CONNECTED_RUNNERS + 2)
        ]
        engine = replace(RUNNER, name='e', service='lm', port=port)
        for runner in (*runners, engine):
            channels.drop(runner, await channels.acquire(runner))
        busy = await channels.acquire(runners[-1])
        await busy.send(OutgoingRequest(b'GET', b'/', [(b'Host', b'x')], b''))
        assert channels.connected_runners('lm') == {engine.incarnation}
        named = channels.connected_runners('app')
        assert len(named) == MAX_CONNECTED_RUNNERS
        assert runners[-1].incarnation not in named
        channels.close_all_except({engine.incarnation})
        assert not channels.connected_runners('app')
        channels.drop(runners[-1], busy)
        channels.close_idle()
