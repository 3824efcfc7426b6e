"""Benchmarks of real processes and of decision algorithms, with targets."""
