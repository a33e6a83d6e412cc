"""What must hold, under failures of real processes."""
