"""The decisions played without a network."""
