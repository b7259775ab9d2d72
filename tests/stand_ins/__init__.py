"""Stand-ins that speak the platform's published protocol, for tests without the platform."""
