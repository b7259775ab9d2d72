"""HTTP interfaces of a daemon: callers, operators, peers and health."""
