"""Result codes and outcomes of requests."""

from ._codes import CodeClass, ResultCode, describe_code
from ._outcomes import Completed, NotRun, Outcome, OutcomeUnknown, Problem

__all__ = [
    "CodeClass",
    "Completed",
    "NotRun",
    "Outcome",
    "OutcomeUnknown",
    "Problem",
    "ResultCode",
    "describe_code",
]
