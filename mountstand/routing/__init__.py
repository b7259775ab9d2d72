"""Request routing: selects the worker that serves each request."""
