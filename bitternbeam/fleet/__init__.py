"""Work done once for the whole fleet: leases, fencing tokens and ownership (pure, no I/O)."""
