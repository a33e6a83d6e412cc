"""What a process knows: terms, journal, members, ids."""
