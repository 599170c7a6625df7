"""Stand-ins of the systems that the daemon works with, for its tests and for trying it."""
