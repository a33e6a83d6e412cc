"""The time line: events of all processes, merged in causal order."""
