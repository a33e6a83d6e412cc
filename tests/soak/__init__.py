"""A randomized fault soak over real entry processes."""
