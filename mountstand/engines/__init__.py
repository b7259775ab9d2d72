"""Port to model engines and its HTTP adapter."""
