"""Binary messages between daemons and their authentication."""
