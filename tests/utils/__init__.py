"""Stand-ins for the outside systems, and helpers."""
