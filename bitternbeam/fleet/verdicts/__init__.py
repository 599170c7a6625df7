"""Fleet-wide verdicts: time-limited bans that all members apply alike (docs/design-limits.md).

A verdict ejects a booker, bars a tenant or caller, or marks a version as bad.
"""
