"""Answers that wait in a connection's buffer for a slow reader."""

from unittest.mock import Mock

from bramleybend.clock import SystemClock
from bramleybend.direct.ingress import CallerConnection, Ingress
from bramleybend.direct.models import IngressLimits


async def test_a_connection_is_busy_until_its_answer_is_sent() -> None:
    """A planned stop must not cut answers that callers are still reading."""
    ingress = Ingress(Mock(), IngressLimits, SystemClock())
    conn = CallerConnection(ingress)
    transport = Mock()
    transport.get_write_buffer_size.return_value = 4096
    conn.connection_made(transport)
    assert ingress.busy_count == 1
    conn.close()
    assert ingress.busy_count == 1
    transport.get_write_buffer_size.return_value = 0
    assert not ingress.busy_count
    conn.connection_lost(None)
    await ingress.stop()


async def test_a_lost_connection_is_not_busy() -> None:
    """A stop must not wait for what nobody reads any more."""
    ingress = Ingress(Mock(), IngressLimits, SystemClock())
    conn = CallerConnection(ingress)
    transport = Mock()
    transport.get_write_buffer_size.return_value = 4096
    conn.connection_made(transport)
    conn.connection_lost(ConnectionResetError())
    assert not ingress.busy_count
    await ingress.stop()
