"""Stand-ins for engines, applications and the platform, with switchable faults."""
