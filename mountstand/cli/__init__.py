"""Command line of mountstand, one module per command group."""
