"""The fleet's member: its session, its pieces of work and what the cores ask of it, a file each."""
