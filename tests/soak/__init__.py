"""A soak test that injects random faults around real entry processes."""
