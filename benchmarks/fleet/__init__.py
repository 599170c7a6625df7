"""The fleet's subsystems under faults, real processes on loopback."""
