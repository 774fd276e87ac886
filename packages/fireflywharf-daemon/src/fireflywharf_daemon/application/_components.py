"""Interface of the application for the caller service, the reports and the status page."""

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
    """Components and state of a daemon, as `Application` provides them."""

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
        """Whether the platform log currently answers reads and appends."""
