"""The command line of godwitway operators."""
