"""Benchmarks of the scheduler, the router and the log processing in `fireflywharf_core`."""
