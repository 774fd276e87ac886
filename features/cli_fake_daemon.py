"""Small HTTP fake of docs/api.md for the features of the command line."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from fireflywharf_core.contracts import parse_contract
from fireflywharf_core.jobs import job_id_of, parse_job
from fireflywharf_core.results import ResultCode, describe_code

VMS = [
    {"name": "entry-1", "role": "entry", "state": "live", "failure_domain": "centro"},
    {
        "name": "worker-1",
        "role": "worker",
        "state": "leaving",
        "failure_domain": "centro",
        "held_by": "entry-1/00ff",
        "set_aside": True,
    },
]


class FakeDaemon(ThreadingHTTPServer):
    """State of the fake; `fault` replaces every answer, `received` lists (method, path, body)."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), FakeHandler)
        self.lock = threading.Lock()
        self.contracts: dict[str, list[dict]] = {}
        self.jobs: dict[str, dict] = {}
        self.lost_domains: list[str] = []
        self.received: list[tuple[str, str, dict | None]] = []
        self.fault = ""
        self.raw_answer: bytes | None = None
        self.read_barrier: threading.Barrier | None = None
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address in the form of `--server`."""
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, request, client_address) -> None:
        """Ignore clients that left, which some features provoke."""


class FakeHandler(BaseHTTPRequestHandler):
    """Answers the calls of docs/api.md."""

    def log_message(self, *_args) -> None:
        """Write no access log."""

    def do_GET(self) -> None:  # noqa: N802
        """Handle a call that reads."""
        self._handle()

    do_POST = do_PUT = do_GET  # noqa: N815

    def _handle(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        self.server.received.append((self.command, self.path, body))
        if self._apply_fault():
            return
        url = urlsplit(self.path)
        parts = url.path.removeprefix("/v1/").split("/")
        if self.command == "GET" and parts[0] == "contracts" and self.server.read_barrier:
            with self.server.lock:
                code, fields = self._route(parts, body, parse_qs(url.query))
            self.server.read_barrier.wait(10)
        else:
            with self.server.lock:
                code, fields = self._route(parts, body, parse_qs(url.query))
        self._answer(code, fields)

    def _apply_fault(self) -> bool:
        match self.server.fault:
            case "":
                return False
            case "close":
                self.close_connection = True
            case "truncate":
                self._send(200, b'{"code": 0, "na', length=1000)
            case "gateway error":
                self._send(502, b"<html>bad gateway</html>")
            case "raw":
                self._send(200, self.server.raw_answer)
            case "silent":
                threading.Event().wait(2)
        return True

    def _send(self, status: int, data: bytes, length: int | None = None) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(data) if length is None else length))
        self.end_headers()
        self.wfile.write(data)
        self.close_connection = True

    def _answer(self, code: ResultCode, fields: dict) -> None:
        info = describe_code(code)
        document = {"code": int(code), "name": code.name, "class": info.code_class.value, **fields}
        self._send(info.http_status, json.dumps(document).encode())

    def _route(self, parts: list[str], body: dict | None, query: dict) -> tuple[ResultCode, dict]:
        match [self.command, *parts]:
            case ["GET", "contracts"]:
                rows = [changes[-1] for changes in self.server.contracts.values()]
                return ResultCode.OK, {"contracts": rows, "offset": len(rows)}
            case [_, "contracts", name, *rest]:
                return self._route_contract(name, rest, body)
            case ["POST", "jobs"]:
                return self._submit(body)
            case ["GET", "jobs"]:
                customer = query.get("customer", [""])[0]
                jobs = [job["row"] for job in self.server.jobs.values()]
                return ResultCode.OK, {"jobs": [j for j in jobs if customer in ("", j["customer"])]}
            case [_, "jobs", job_id, *rest]:
                return self._route_job(job_id, rest)
            case ["POST", "keys"]:
                return ResultCode.OK, {"keys": [f"k1.{n}" for n in range(body["count"])]}
            case ["POST", "requests"]:
                fields = {"request_id": "r-1", "status": 200, "body": body["body"].upper()}
                return ResultCode.OK, fields
            case ["GET", "vms"]:
                return ResultCode.OK, {"vms": VMS}
            case ["GET", "status"]:
                return ResultCode.OK, self._status()
            case ["POST", "domains", name, "lost"]:
                self.server.lost_domains.append(name)
                return ResultCode.OK, {"domain": name}
        return ResultCode.UNKNOWN_ROUTE, {"detail": self.path, "problems": []}

    def _route_contract(self, name: str, rest: list, body: dict | None) -> tuple[ResultCode, dict]:
        changes = self.server.contracts.get(name, [])
        if self.command == "PUT":
            return self._apply(name, body)
        if not changes:
            return ResultCode.UNKNOWN_CONTRACT, {"detail": name, "problems": []}
        if rest == ["history"]:
            return ResultCode.OK, {"changes": changes}
        return ResultCode.OK, changes[-1]

    def _apply(self, name: str, body: dict) -> tuple[ResultCode, dict]:
        contract, problems = parse_contract(body["contract"])
        assert contract is not None, problems
        changes = self.server.contracts.setdefault(name, [])
        versions = {"base_version": body["base_version"], "current_version": len(changes)}
        if body["base_version"] != len(changes):
            return ResultCode.VERSION_CONFLICT, versions
        change = {"customer": name, "version": len(changes) + 1, "contract": body["contract"]}
        changes.append(change | {"author": body["author"], "time_utc": "", "won": True})
        return ResultCode.OK, {"customer": name, "version": len(changes)}

    def _submit(self, body: dict) -> tuple[ResultCode, dict]:
        spec, problems = parse_job(body)
        assert spec is not None, problems
        job_id = job_id_of(body["customer"], body["key"])
        row = {"job_id": job_id, "customer": spec.customer, "kind": spec.kind.value}
        row |= {"state": "waiting", "home_domain": "centro", "late": False}
        self.server.jobs.setdefault(job_id, {"body": body, "row": row})
        return ResultCode.ACCEPTED, {"job_id": job_id, "state": "waiting", "expected_late": False}

    def _route_job(self, job_id: str, rest: list) -> tuple[ResultCode, dict]:
        job = self.server.jobs.get(job_id)
        if job is None:
            return ResultCode.UNKNOWN_JOB, {"detail": job_id, "problems": []}
        if rest == ["cancel"]:
            job["row"]["state"] = "cancelled"
            return ResultCode.OK, {"job_id": job_id, "state": "cancelled"}
        fields = {"job_id": job_id, "state": job["row"]["state"], "late": False, "recorded": True}
        if rest == ["explain"]:
            fields["explanation"] = "waits for 2 free accelerators"
        return ResultCode.OK, fields

    @staticmethod
    def _status() -> dict:
        return {
            "vm_name": "entry-1",
            "incarnation": "entry-1/00ff",
            "domain": "centro",
            "region": "centro",
            "scheduler": True,
            "ready": True,
            "draining": False,
            "peers": [{"vm_name": "entry-2", "draining": False}],
            "domains": [{"domain": "caribe", "reachable": False}],
            "offsets": {"contracts": 4},
            "customers": [{"customer": "austral", "share": 0.61803, "waiting_tasks_count": 3}],
            "targets": [],
            "log_available": True,
        }
