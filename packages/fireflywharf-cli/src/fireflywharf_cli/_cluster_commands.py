"""Commands for VMs, failure domains, status, requests and keys."""

import time

from ._answers import DomainAnswer, KeysAnswer, RequestAnswer, StatusAnswer, VmsAnswer
from ._calls import convert_read_outcome, convert_write_outcome
from ._client import DaemonClient, build_path
from ._console import Console
from ._contract_commands import get_default_author
from ._files import read_text
from ._outcomes import CommandOutcome, Failure, Report, build_usage_failure
from ._tables import format_fields, format_objects, format_section

MAX_KEYS_COUNT = 1000
MAX_REFRESHES_COUNT = 1000
MAX_INTERVAL_S = 3600.0
RESPONSE_MARGIN_S = 5.0
VM_COLUMNS = (
    "name", "role", "state", "failure_domain", "region", "rack", "address", "service", "held_by",
    "set_aside",
)  # fmt: skip
STATUS_SECTIONS = ("peers", "domains", "offsets", "customers", "targets")
TOP_SECTIONS = ("domains", "customers", "targets")
STATUS_FIELDS = (
    "vm_name", "incarnation", "domain", "region", "scheduler", "ready", "draining", "log_available",
)  # fmt: skip
TOP_FIELDS = ("vm_name", "domain", "scheduler", "ready", "draining", "log_available")


def format_status(answer: StatusAnswer, fields: tuple[str, ...], sections: tuple[str, ...]) -> str:
    """Format the given fields and sections of a status answer."""
    parts = [format_fields({name: getattr(answer, name) for name in fields})]
    for name in sections:
        if getattr(answer, name) is not None:
            parts.append(format_section(name, getattr(answer, name)))
    return "\n".join(parts)


class ClusterCommands:
    """Commands for the cluster as a whole.

    Args:
        client: client of the daemon.
        console: output of intermediate results.
    """

    def __init__(self, client: DaemonClient, console: Console) -> None:
        self.client = client
        self.console = console

    def list_vms(self, *, role: str = "", domain: str = "") -> CommandOutcome:
        """List the VMs with their lease holders and whether they are set aside.

        Args:
            role: show only VMs of this role: entry, worker or target
            domain: show only VMs of this failure domain

        Returns:
            One row for each VM.
        """
        if role not in ("", "entry", "worker", "target"):
            return build_usage_failure("--role", role, "entry, worker or target")

        outcome = convert_read_outcome(self.client.read(build_path("vms")), VmsAnswer, lambda _: "")
        if isinstance(outcome, Failure):
            return outcome
        rows = [
            vm
            for vm in outcome.document["vms"]
            if role in ("", vm.get("role")) and domain in ("", vm.get("failure_domain"))
        ]
        document = outcome.document | {"vms": rows}
        return Report(outcome.code, document, format_objects(rows, VM_COLUMNS))

    def status(self) -> CommandOutcome:
        """Show the status of the entry VM that answers: its peers, queues, shares and targets.

        Returns:
            The status document.
        """
        return convert_read_outcome(
            self.client.read(build_path("status")),
            StatusAnswer,
            lambda answer: format_status(answer, STATUS_FIELDS, STATUS_SECTIONS),
        )

    def top(self, *, count: int = 30, interval_s: float = 2.0) -> CommandOutcome:
        """Show queues, shares and targets repeatedly; continues if no daemon answers.

        Args:
            count: number of refreshes, 1 to 1000
            interval_s: seconds between refreshes, 0.1 to 3600

        Returns:
            The last refresh.
        """
        if not 1 <= count <= MAX_REFRESHES_COUNT:
            return build_usage_failure("--count", count, f"1 to {MAX_REFRESHES_COUNT}")
        if not 0.1 <= interval_s <= MAX_INTERVAL_S:
            return build_usage_failure("--interval-s", interval_s, f"0.1 to {MAX_INTERVAL_S:g}")
        outcome = self._refresh()
        for _ in range(count - 1):
            self.console.write(outcome)
            time.sleep(interval_s)
            outcome = self._refresh()
        return outcome

    def _refresh(self) -> CommandOutcome:
        outcome = convert_read_outcome(
            self.client.read(build_path("status")),
            StatusAnswer,
            lambda answer: format_status(answer, TOP_FIELDS, TOP_SECTIONS),
        )
        self.console.clear_screen()
        return outcome

    def declare_lost(self, name: str, *, yes: bool = False, author: str = "") -> CommandOutcome:
        """Declare that all workers of a failure domain have stopped; its jobs restart elsewhere.

        Args:
            name: name of the failure domain
            yes: confirm that all workers of the domain have stopped; the tasks of a worker that is
                still running would run in two places
            author: author to record; the login name by default

        Returns:
            The failure domain.
        """
        if not yes:
            return build_usage_failure(
                "--yes",
                None,
                f"--yes, which confirms that every worker of {name} has stopped; otherwise its "
                "tasks would run in two places",
            )
        outcome = self.client.write(
            "POST", build_path("domains", name, "lost"), {"author": author or get_default_author()}
        )
        recovery_advice = (
            "check the outcome with: fireflywharf status; repeating the declaration is harmless"
        )
        return convert_write_outcome(
            outcome, DomainAnswer, lambda answer: f"{answer.domain}: declared lost", recovery_advice
        )

    def send_request(
        self,
        service: str,
        *,
        customer: str,
        kind: str,
        body: str = "",
        body_file: str = "",
        idempotent: bool = False,
        key: str = "",
        deadline_ms: int | None = None,
    ) -> CommandOutcome:
        """Send a request to a service and print the response.

        Args:
            service: name of the service
            customer: name of the customer, as in its contract
            kind: kind of the request; run times are estimated for each kind
            body: request body as text
            body_file: file with the request body
            idempotent: allow the daemon to repeat the request after a fault
            key: idempotency key; required if the request is not idempotent
            deadline_ms: time limit for the response; by default that of the contract

        Returns:
            The response of the target.
        """
        failure = _validate_request(body, body_file, idempotent, key, deadline_ms)
        if failure is not None:
            return failure
        text = read_text(body_file) if body_file else body
        if isinstance(text, Failure):
            return text
        document = {
            "customer": customer,
            "service": service,
            "kind": kind,
            "idempotent": idempotent,
            "body": text,
        }
        document |= {"key": key} if key else {}
        document |= {} if deadline_ms is None else {"deadline_ms": deadline_ms}
        timeout_s = (deadline_ms or 0) / 1000 + RESPONSE_MARGIN_S
        outcome = self.client.write("POST", build_path("requests"), document, timeout_s)
        return convert_write_outcome(
            outcome, RequestAnswer, _format_request_answer, _request_recovery_advice(key)
        )

    def issue_keys(self, customer: str, *, count: int = 1) -> CommandOutcome:
        """Issue request keys, one per line; they can also be used while the log is unavailable.

        Args:
            customer: name of the customer, as in its contract
            count: number of keys, 1 to 1000

        Returns:
            The keys.
        """
        if not 1 <= count <= MAX_KEYS_COUNT:
            return build_usage_failure("--count", count, f"1 to {MAX_KEYS_COUNT}")
        body = {"customer": customer, "count": count}
        return convert_write_outcome(
            self.client.write("POST", build_path("keys"), body),
            KeysAnswer,
            lambda answer: "\n".join(answer.keys),
            "an issued key has no effect until it is used; issue new keys",
        )


def _validate_request(
    body: str, body_file: str, idempotent: bool, key: str, deadline_ms: int | None
) -> Failure | None:
    if body and body_file:
        return build_usage_failure("--body-file", body_file, "either --body or --body-file")
    if not idempotent and not key:
        accepted = "1 to 128 printable ASCII characters, because the request is not --idempotent"
        return build_usage_failure("--key", None, accepted)
    if deadline_ms is not None and deadline_ms < 1:
        return build_usage_failure("--deadline-ms", deadline_ms, "a whole number of at least 1")
    return None


def _request_recovery_advice(key: str) -> str:
    if key:
        return (
            f"check the outcome by sending the same request with the same key {key!r}; the answer "
            "is the recorded outcome, and the request cannot run twice"
        )
    return "the request is idempotent, so it is safe to send it again"


def _format_request_answer(answer: RequestAnswer) -> str:
    return f"request {answer.request_id}: status {answer.status}\n{answer.body}"
