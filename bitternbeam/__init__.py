"""bitternbeam: a session controller that sets calls up at shared bookers under load."""

__version__ = "0.1.0"
