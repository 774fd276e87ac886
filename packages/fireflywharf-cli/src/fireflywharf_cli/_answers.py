"""Classes for the daemon's JSON responses; unknown fields are ignored."""

from typing import Any, TypeVar

import attrs
import msgspec

Answer = TypeVar("Answer")


@attrs.frozen(kw_only=True)
class ContractAnswer:
    """Answer of `GET /v1/contracts/NAME`."""

    customer: str
    version: int
    contract: dict[str, Any]


@attrs.frozen(kw_only=True)
class ContractsAnswer:
    """Answer of `GET /v1/contracts`."""

    contracts: list[ContractAnswer]
    offset: int


@attrs.frozen(kw_only=True)
class ContractChange:
    """Change in the history of a contract; `won` is false if a concurrent change came first."""

    version: int
    author: str = ""
    time_utc: str = ""
    contract: dict[str, Any]
    won: bool = True


@attrs.frozen(kw_only=True)
class HistoryAnswer:
    """Answer of `GET /v1/contracts/NAME/history`."""

    changes: list[ContractChange]


@attrs.frozen(kw_only=True)
class AppliedAnswer:
    """Answer of `PUT /v1/contracts/NAME`."""

    customer: str
    version: int


@attrs.frozen(kw_only=True)
class JobAnswer:
    """Answer of the calls about one job; each call fills in a subset of the fields."""

    job_id: str
    state: str
    tasks_waiting_count: int | None = None
    tasks_running_count: int | None = None
    tasks_done_count: int | None = None
    late: bool | None = None
    recorded: bool | None = None
    expected_late: bool | None = None
    detail: str | None = None
    explanation: str | None = None


@attrs.frozen(kw_only=True)
class JobRow:
    """Job in the answer of `GET /v1/jobs`; the kind of a finished job may be unknown."""

    job_id: str
    customer: str
    state: str
    kind: str | None = None
    home_domain: str | None = None
    late: bool | None = None


@attrs.frozen(kw_only=True)
class JobsAnswer:
    """Answer of `GET /v1/jobs`."""

    jobs: list[JobRow]


@attrs.frozen(kw_only=True)
class KeysAnswer:
    """Answer of `POST /v1/keys`."""

    keys: list[str]


@attrs.frozen(kw_only=True)
class RequestAnswer:
    """Answer of `POST /v1/requests`."""

    request_id: str
    status: int
    body: str


@attrs.frozen(kw_only=True)
class VmsAnswer:
    """Answer of `GET /v1/vms`; rows are VM list rows with `held_by` and `set_aside` added."""

    vms: list[dict[str, Any]]


@attrs.frozen(kw_only=True)
class DomainAnswer:
    """Answer of `POST /v1/domains/NAME/lost`."""

    domain: str


@attrs.frozen(kw_only=True)
class StatusAnswer:
    """Answer of `GET /v1/status`; fields of type `Any` are printed without validation."""

    vm_name: str
    incarnation: str
    domain: str
    region: str
    scheduler: Any
    ready: bool
    draining: bool
    log_available: bool
    peers: Any = None
    domains: Any = None
    offsets: Any = None
    customers: Any = None
    targets: Any = None


def convert_response(document: dict[str, Any], answer_type: type[Answer]) -> Answer | str:
    """Convert the JSON body of a response to its class.

    Args:
        document: JSON body of the response.
        answer_type: class to convert to.

    Returns:
        The typed answer, or an error message that names the invalid field.
    """
    try:
        return msgspec.convert(document, answer_type)
    except msgspec.ValidationError as error:
        return str(error)
