"""What callers, reports and status use of the application."""

import asyncio
from typing import Protocol

from fireflywharf_core.log import JobsFold
from fireflywharf_core.platform import VmInfo

from ._context import Context
from ._contracts import ContractService
from ._jobs import JobService
from ._log_stream import LogStream
from ._membership import Membership
from ._requests import RequestService
from ._scheduling import SchedulerService


class ApplicationComponents(Protocol):
    """Services and state of a daemon; `Application` describes them."""

    ready: bool
    loop: asyncio.AbstractEventLoop | None
    vms: list[VmInfo]
    context: Context
    jobs_fold: JobsFold
    contracts: ContractService
    membership: Membership
    requests: RequestService
    scheduler: SchedulerService
    jobs: JobService
    streams: dict[str, LogStream]

    @property
    def log_available(self) -> bool:
        """Whether the log confirms appends."""
