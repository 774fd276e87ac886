"""Benchmarks of the decision core."""
