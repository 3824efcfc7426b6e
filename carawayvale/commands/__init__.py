"""Command line, and the daemons and the demo that it runs."""
