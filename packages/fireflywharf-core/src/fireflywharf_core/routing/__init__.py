"""Routing of requests to targets."""
