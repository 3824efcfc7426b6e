"""Stand-ins and a small harness for the scripts of the review."""
