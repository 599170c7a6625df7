"""The fleet laboratory: several real processes, faults between them, and counts from the receivers' logs."""
