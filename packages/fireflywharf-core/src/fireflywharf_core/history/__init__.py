"""Histories of runs and checkers of the promises."""
