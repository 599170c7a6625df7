"""Configuration as numbered versions: documents, snapshots, the life of a version. No I/O, clock or wire."""
