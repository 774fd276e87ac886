"""Runs the main job on embedded stand-ins."""
