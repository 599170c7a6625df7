"""Work done once for the whole fleet: leases, fencing tokens and who owns which piece (pure, no I/O)."""
