"""The command line and the thin daemons."""
