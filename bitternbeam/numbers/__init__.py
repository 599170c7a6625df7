"""Number analysis: normal forms, rules by prefix and time of day, plans. No I/O but to read files."""
