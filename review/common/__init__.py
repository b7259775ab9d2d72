"""What the scripts of the cases share."""
