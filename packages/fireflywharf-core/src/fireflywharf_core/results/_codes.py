"""Result codes shared by the daemon, the command line and the documentation.

The number of a code must not change or be reused, because callers store it.
"""

from enum import Enum, IntEnum

import attrs


class CodeClass(Enum):
    """Class of a result code: what a caller may conclude from it."""

    COMPLETED = "completed"
    PENDING = "pending"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    INVALID = "invalid input"
    LOCAL = "local error"


class ResultCode(IntEnum):
    """Numbered result codes, listed in `docs/result-codes.md`."""

    OK = 0
    ACCEPTED = 10
    ACCEPTED_LATE = 11
    PROVISIONAL = 12
    JOB_FAILED = 20
    JOB_CANCELLED = 21
    JOB_LATE = 22
    TARGET_ERROR = 23
    INVALID_JSON = 100
    INVALID_FIELD = 101
    BODY_TOO_LARGE = 102
    BODY_INCOMPLETE = 103
    UNKNOWN_CUSTOMER = 104
    UNKNOWN_JOB = 105
    UNKNOWN_SERVICE = 106
    UNKNOWN_ROUTE = 107
    KEY_CONFLICT = 108
    INVALID_SETTINGS = 109
    INVALID_CONTRACT = 110
    VERSION_CONFLICT = 111
    UNKNOWN_CONTRACT = 112
    INVALID_KEY = 113
    UNKNOWN_DOMAIN = 114
    INFEASIBLE = 200
    RATE_LIMITED = 201
    QUEUE_FULL = 202
    DEADLINE_PASSED = 203
    NO_TARGET = 204
    TARGET_REFUSED = 205
    STORE_UNAVAILABLE = 206
    NO_SCHEDULER = 207
    DRAINING = 208
    QUOTA_EXCEEDED = 209
    RETRY_BUDGET_SPENT = 210
    NOT_READY = 211
    WOULD_BE_LATE = 212
    REFUSED_BY_CONTRACT = 213
    OUTCOME_UNKNOWN = 300
    KEY_HOLDER_GONE = 301
    IN_PROGRESS = 302
    DAEMON_UNREACHABLE = 400
    SHUTDOWN_CUT = 401
    USAGE_ERROR = 402
    INTERNAL_ERROR = 403


@attrs.frozen
class CodeInfo:
    """Description of one result code.

    Args:
        code_class: what a caller may conclude.
        http_status: status of HTTP answers with this code.
        exit_status: exit status of the command line.
        retryable: whether a retry with the same input can succeed.
        meaning: explanation in one sentence, for the documentation.
    """

    code_class: CodeClass
    http_status: int
    exit_status: int
    retryable: bool
    meaning: str


_COMPLETED, _PENDING = CodeClass.COMPLETED, CodeClass.PENDING
_NOT_RUN, _UNKNOWN = CodeClass.NOT_RUN, CodeClass.UNKNOWN
_INVALID, _LOCAL = CodeClass.INVALID, CodeClass.LOCAL

_INFO = {
    ResultCode.OK: CodeInfo(_COMPLETED, 200, 0, False, "The call succeeded."),
    ResultCode.ACCEPTED: CodeInfo(_PENDING, 202, 0, False, "The job is recorded in the log."),
    ResultCode.ACCEPTED_LATE: CodeInfo(
        _PENDING, 202, 0, False, "The job is recorded and expected to miss its deadline."
    ),
    ResultCode.PROVISIONAL: CodeInfo(
        _PENDING, 202, 0, False, "The job runs; its record waits for the log."
    ),
    ResultCode.JOB_FAILED: CodeInfo(_COMPLETED, 200, 10, False, "The job ran and failed."),
    ResultCode.JOB_CANCELLED: CodeInfo(_COMPLETED, 200, 11, False, "The job was cancelled."),
    ResultCode.JOB_LATE: CodeInfo(_PENDING, 200, 0, False, "The job passed its deadline."),
    ResultCode.TARGET_ERROR: CodeInfo(
        _COMPLETED, 502, 12, False, "The target ran the request and answered with an error."
    ),
    ResultCode.INVALID_JSON: CodeInfo(_INVALID, 400, 20, False, "The body is not valid JSON."),
    ResultCode.INVALID_FIELD: CodeInfo(
        _INVALID, 400, 20, False, "A field is missing, unknown or out of range."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(
        _INVALID, 413, 20, False, "The body exceeds the size limit."
    ),
    ResultCode.BODY_INCOMPLETE: CodeInfo(
        _INVALID, 408, 20, True, "The body did not arrive in full within the time limit."
    ),
    ResultCode.UNKNOWN_CUSTOMER: CodeInfo(
        _INVALID, 403, 20, False, "No contract exists for the customer."
    ),
    ResultCode.UNKNOWN_JOB: CodeInfo(_INVALID, 404, 20, False, "No job has this identifier."),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(
        _INVALID, 404, 20, False, "No target serves this service."
    ),
    ResultCode.UNKNOWN_ROUTE: CodeInfo(
        _INVALID, 404, 20, False, "The path or method does not exist."
    ),
    ResultCode.KEY_CONFLICT: CodeInfo(
        _INVALID, 409, 20, False, "The key was used before with other content."
    ),
    ResultCode.INVALID_SETTINGS: CodeInfo(_INVALID, 400, 21, False, "The settings are not valid."),
    ResultCode.INVALID_CONTRACT: CodeInfo(_INVALID, 400, 22, False, "The contract is not valid."),
    ResultCode.VERSION_CONFLICT: CodeInfo(
        _INVALID, 409, 23, False, "The contract was changed since the base version."
    ),
    ResultCode.UNKNOWN_CONTRACT: CodeInfo(_INVALID, 404, 20, False, "No contract has this name."),
    ResultCode.INVALID_KEY: CodeInfo(
        _INVALID, 400, 20, False, "The issued key is malformed, expired or forged."
    ),
    ResultCode.UNKNOWN_DOMAIN: CodeInfo(
        _INVALID, 404, 20, False, "No failure domain has this name."
    ),
    ResultCode.INFEASIBLE: CodeInfo(
        _NOT_RUN, 422, 30, False, "No worker can ever hold a task of this size."
    ),
    ResultCode.RATE_LIMITED: CodeInfo(
        _NOT_RUN, 429, 31, True, "The customer's contract rate is used up."
    ),
    ResultCode.QUEUE_FULL: CodeInfo(_NOT_RUN, 503, 31, True, "The customer's queue is full."),
    ResultCode.DEADLINE_PASSED: CodeInfo(
        _NOT_RUN, 504, 32, False, "The deadline passed before the work started."
    ),
    ResultCode.NO_TARGET: CodeInfo(_NOT_RUN, 503, 31, True, "No target of the service is usable."),
    ResultCode.TARGET_REFUSED: CodeInfo(
        _NOT_RUN, 503, 31, True, "Targets refused the request before starting it."
    ),
    ResultCode.STORE_UNAVAILABLE: CodeInfo(
        _NOT_RUN, 503, 33, True, "The platform log did not confirm a record that is needed first."
    ),
    ResultCode.NO_SCHEDULER: CodeInfo(
        _NOT_RUN, 503, 31, True, "No scheduler of the failure domain is reachable."
    ),
    ResultCode.DRAINING: CodeInfo(_NOT_RUN, 503, 31, True, "The entry VM is shutting down."),
    ResultCode.QUOTA_EXCEEDED: CodeInfo(
        _NOT_RUN, 429, 31, True, "The team's or customer's quota is used up."
    ),
    ResultCode.RETRY_BUDGET_SPENT: CodeInfo(
        _NOT_RUN, 503, 31, True, "The request was not started and no retry is left."
    ),
    ResultCode.NOT_READY: CodeInfo(
        _NOT_RUN, 503, 31, True, "The entry VM has not yet read the configuration."
    ),
    ResultCode.WOULD_BE_LATE: CodeInfo(
        _NOT_RUN, 503, 32, False, "The work cannot finish before its deadline."
    ),
    ResultCode.REFUSED_BY_CONTRACT: CodeInfo(
        _NOT_RUN, 403, 34, False, "The contract does not allow this kind of work."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        _UNKNOWN, 502, 40, False, "The work may have run; its answer did not arrive."
    ),
    ResultCode.KEY_HOLDER_GONE: CodeInfo(
        _UNKNOWN, 502, 40, False, "The entry VM that decides for the key is gone or unreachable."
    ),
    ResultCode.IN_PROGRESS: CodeInfo(
        _UNKNOWN, 409, 41, True, "The same key is being executed; ask again."
    ),
    ResultCode.DAEMON_UNREACHABLE: CodeInfo(_LOCAL, 503, 50, True, "No daemon answered."),
    ResultCode.SHUTDOWN_CUT: CodeInfo(
        _LOCAL, 500, 51, False, "The shutdown deadline passed with work in progress."
    ),
    ResultCode.USAGE_ERROR: CodeInfo(_LOCAL, 400, 2, False, "The command line is not valid."),
    ResultCode.INTERNAL_ERROR: CodeInfo(
        _LOCAL, 500, 52, True, "An unexpected error; see the log of the daemon."
    ),
}


def describe_code(code: ResultCode) -> CodeInfo:
    """Return the description of a result code."""
    return _INFO[code]
