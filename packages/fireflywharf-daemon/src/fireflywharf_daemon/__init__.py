"""Daemon of the fireflywharf entry VMs."""
