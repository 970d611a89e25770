"""Stand-ins for what surrounds godwitway, and the player of recorded traces."""
