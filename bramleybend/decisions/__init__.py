"""Pure policy under load: no I/O, no asyncio, the clock passed in."""
