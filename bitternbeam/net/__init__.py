"""Everything that touches a socket."""
