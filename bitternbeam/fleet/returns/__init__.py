"""Reconnect admission ([fleet.returns]): clients that reconnect all at once are spread over retry slots."""
