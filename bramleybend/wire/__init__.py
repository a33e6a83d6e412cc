"""Messages between our own processes (generated code is committed)."""
