"""Gateway process: serves callers over HTTP and dispatches their requests."""
