"""The raw path: plain HTTP requests by host and path."""
