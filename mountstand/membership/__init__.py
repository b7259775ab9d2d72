"""Member list of daemons: failure detection and gossip."""
