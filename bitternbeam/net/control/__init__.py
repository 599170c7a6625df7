"""The control service's wire: the stream of versions, its TLS, and the operators' socket."""
