"""bitternbeam: a session controller that sets up calls at shared bookers, also under load."""

__version__ = "0.1.0"
