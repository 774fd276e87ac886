"""Scheduling of jobs on workers."""
