"""The godwitway daemon that runs on every entry host."""
