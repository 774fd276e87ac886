"""Membership of entry VMs."""
