"""Policy under load as pure functions of time: no I/O and no asyncio."""
