"""Scheduling, routing and replication logic without I/O: callers pass in events and the time."""
