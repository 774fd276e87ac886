"""Servers for the features of the command line: an in-memory daemon and faulty servers."""

import socketserver
import threading

from fireflywharf_core.jobs import JobState, derive_job_id
from fireflywharf_core.platform import VmInfo, VmRole, VmState
from fireflywharf_core.results import Completed, ResultCode
from fireflywharf_daemon import http

_VM = {"address": "10.0.0.1:1", "region": "centro", "failure_domain": "centro-a"}


class InMemoryService:
    """A `http.CallerService` that keeps contracts and jobs in memory."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.changes: dict[str, list[http.ContractChange]] = {}
        self.jobs: dict[str, http.JobRow] = {}
        # Concurrent readers wait here for each other, so that all read before one writes.
        self.read_barrier: threading.Barrier | None = None

    def get_contract(self, customer: str) -> http.ContractRow | http.CallerError:
        """Return the contract with the last change that was applied."""
        with self.lock:
            won = [change for change in self.changes.get(customer, []) if change.won]
        if self.read_barrier is not None:
            self.read_barrier.wait(10)
        if not won:
            return http.CallerError(ResultCode.UNKNOWN_CONTRACT, customer)
        return http.ContractRow(customer, won[-1].version, won[-1].contract)

    def apply_contract(self, change: http.ApplyContract):
        """Apply a change if its base version is the current version."""
        customer = change.contract.customer
        with self.lock:
            changes = self.changes.setdefault(customer, [])
            current_version = sum(change.won for change in changes)
            won = change.base_version == current_version
            version = change.base_version + 1
            changes.append(
                http.ContractChange(
                    version=version,
                    author=change.author,
                    time_utc="",
                    contract=change.contract,
                    won=won,
                )
            )
        if not won:
            return http.VersionConflict(customer, change.base_version, current_version)
        return http.AppliedContract(customer, version)

    def list_contracts(self) -> http.ContractListing:
        """Return all contracts."""
        return http.ContractListing([self.get_contract(name) for name in self.changes], 1)

    def contract_history(self, customer: str) -> http.ContractHistory:
        """Return all changes to a contract, also those that were refused."""
        return http.ContractHistory(self.changes[customer])

    def submit_job(self, job: http.SubmitJob) -> http.SubmittedJob:
        """Accept a job."""
        row = http.JobRow(
            job_id=derive_job_id(job.spec.customer, job.key),
            customer=job.spec.customer,
            kind=job.spec.kind,
            state=JobState.WAITING,
            home_domain="centro-a",
        )
        row = self.jobs.setdefault(row.job_id, row)
        return http.SubmittedJob(code=ResultCode.ACCEPTED, job_id=row.job_id, state=row.state)

    def job_status(self, job_id: str) -> http.JobStatus | http.CallerError:
        """Return the state of a job."""
        if job_id not in self.jobs:
            return http.CallerError(ResultCode.UNKNOWN_JOB, job_id)
        return http.JobStatus(job_id=job_id, state=self.jobs[job_id].state)

    def explain_job(self, job_id: str) -> http.JobStatus:
        """Return a job status with a fixed explanation."""
        explanation = "waits for 2 free accelerators"
        return http.JobStatus(job_id=job_id, state=JobState.WAITING, explanation=explanation)

    def cancel_job(self, job_id: str) -> http.CancelledJob:
        """Report the job as cancelled."""
        return http.CancelledJob(job_id, JobState.CANCELLED)

    def list_jobs(self, customer: str | None) -> http.JobListing:
        """Return the jobs of a customer, or all jobs if `customer` is None."""
        return http.JobListing(
            [job for job in self.jobs.values() if customer in (None, job.customer)]
        )

    def issue_keys(self, asked: http.IssueKeys) -> http.IssuedKeys:
        """Return as many numbered keys as requested."""
        return http.IssuedKeys([f"k1.{number}" for number in range(asked.count)])

    def execute_request(self, request: http.ExecuteRequest) -> http.RequestResult:
        """Answer with the body in upper case, or with a target error if the body is `fail`."""
        if request.body == b"fail":
            return http.RequestResult("r-1", Completed(b"", 500, ResultCode.TARGET_ERROR))
        return http.RequestResult("r-1", Completed(request.body.upper()))

    def list_vms(self) -> http.VmListing:
        """Return an entry VM and a worker that is set aside and leaving."""
        entry = VmInfo(name="entry-1", role=VmRole.ENTRY, **_VM)
        worker = VmInfo(name="worker-1", role=VmRole.WORKER, state=VmState.LEAVING, **_VM)
        return http.VmListing([http.VmRow(entry), http.VmRow(worker, "entry-1/00ff", True)])

    def status(self) -> http.DaemonStatus:
        """Return the status of a scheduler with one unreachable domain and one customer."""
        return http.DaemonStatus(
            vm_name="entry-1",
            incarnation="entry-1/00ff",
            domain="centro-a",
            region="centro",
            scheduler=True,
            ready=True,
            draining=False,
            log_available=True,
            domains=[http.DomainStatus(domain="caribe-a", region="caribe", reachable=False)],
            offsets={"contracts": 4},
            customers=[http.CustomerStatus(customer="austral", share=0.61803)],
        )

    def declare_domain_lost(self, declared: http.DeclareDomainLost) -> http.LostDomain:
        """Confirm that the domain was declared lost."""
        return http.LostDomain(declared.domain)


class InMemoryDaemon:
    """The daemon's HTTP interface over an `InMemoryService`; counts the calls."""

    def __init__(self) -> None:
        self.service = InMemoryService()
        self.calls_count = 0
        application = http.build_application(self.service, requests_max=4, observer=self)
        self.server = http.HttpServer(application, "127.0.0.1:0", threads_count=5)
        self.server.start()
        self.address = self.server.address

    def http_answered(self, _route: str, _code: ResultCode, _elapsed_s: float) -> None:
        """Count a call."""
        self.calls_count += 1

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop(1.0)


class FaultyServer(socketserver.ThreadingTCPServer):
    """Reads each request in full, waits `delay_s`, sends `answer` unchanged and closes."""

    daemon_threads = True

    def __init__(self, answer: bytes = b"", delay_s: float = 0.0) -> None:
        super().__init__(("127.0.0.1", 0), _FaultyHandler)
        self.answer = answer
        self.delay_s = delay_s
        self.calls_count = 0
        self.closing = threading.Event()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self.closing.set()
        self.shutdown()
        self.server_close()


class _FaultyHandler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        length = 0
        while (line := self.rfile.readline().strip().lower()) != b"":
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        self.rfile.read(length)
        self.server.calls_count += 1
        self.server.closing.wait(self.server.delay_s)
        self.wfile.write(self.server.answer)


def http_answer(body: bytes, status: int = 200, length: int | None = None) -> bytes:
    """Return the bytes of an HTTP answer; `length` replaces the correct Content-Length."""
    length = len(body) if length is None else length
    return b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%b" % (status, length, body)
