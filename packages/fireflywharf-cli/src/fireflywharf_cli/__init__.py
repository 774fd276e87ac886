"""Command line of fireflywharf for operators."""

from ._console import Console
from ._files import read_text
from ._outcomes import CommandOutcome, Failure, Report
from ._tables import format_table

__all__ = ["CommandOutcome", "Console", "Failure", "Report", "format_table", "read_text"]
