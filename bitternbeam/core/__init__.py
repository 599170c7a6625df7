"""Calls, attempts and their outcomes, independent of any wire protocol."""
