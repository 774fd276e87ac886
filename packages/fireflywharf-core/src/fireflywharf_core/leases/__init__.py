"""Leases of workers and targets."""
