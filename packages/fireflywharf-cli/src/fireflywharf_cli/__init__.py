"""Command line of fireflywharf for operators."""
