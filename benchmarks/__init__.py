"""Measurements of real processes and of decisions, with bounds."""
