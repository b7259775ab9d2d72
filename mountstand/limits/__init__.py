"""What daemons share out among themselves, so that no window of time holds more than a bound."""
