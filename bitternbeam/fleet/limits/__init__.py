"""Fleet-wide limits, each shared out as leases by one owner (docs/design-limits.md)."""
