"""Commands for contracts."""

import os
from typing import Any

import msgspec

from fireflywharf_core.contracts import parse_contract
from fireflywharf_core.results import ResultCode

from ._answers import (
    AppliedAnswer,
    ContractAnswer,
    ContractsAnswer,
    HistoryAnswer,
    convert_response,
)
from ._calls import build_failure_from_response, convert_read_outcome, convert_write_outcome
from ._client import DaemonClient, build_path
from ._console import Console
from ._files import find_non_finite_numbers, read_object
from ._outcomes import CommandOutcome, Failure, Report, ResponseReceived, build_usage_failure
from ._tables import format_contract, format_table


def get_default_author() -> str:
    """Return the login name from the environment, or `unknown`."""
    return os.environ.get("USER") or os.environ.get("LOGNAME") or "unknown"


def read_contract(path: str) -> dict[str, Any] | Failure:
    """Read and validate a contract file.

    Args:
        path: path of a TOML file, or of a JSON file if it ends in `.json`.

    Returns:
        The contract with all defaults filled in, or a failure with all problems.
    """
    data = read_object(path, ResultCode.INVALID_CONTRACT)
    if isinstance(data, Failure):
        return data
    contract, problems = parse_contract(data)
    problems = [*problems, *find_non_finite_numbers(data, ResultCode.INVALID_CONTRACT)]
    if contract is None or problems:
        return Failure(ResultCode.INVALID_CONTRACT, f"file {path}", tuple(problems))
    return msgspec.to_builtins(contract)


def fill_defaults(contract: dict[str, Any]) -> dict[str, Any]:
    """Return a contract of the daemon with all defaults filled in and fields in standard order.

    A contract that this version cannot parse is returned unchanged.
    """
    parsed, _ = parse_contract(contract)
    return contract if parsed is None else msgspec.to_builtins(parsed)


def flatten_contract(value: Any, path: str = "") -> dict[str, Any]:
    """Return the leaf values of a contract by path; teams are indexed by name, not by position."""
    if isinstance(value, dict) and value:
        leaves = {}
        for name, item in value.items():
            leaves |= flatten_contract(item, f"{path}.{name}" if path else str(name))
        return leaves
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        leaves = {}
        for index, item in enumerate(value):
            leaves |= flatten_contract(item, f"{path}[{item.get('team', index)}]")
        return leaves
    return {path: value}


def compare_contracts(current: dict[str, Any], new: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a row with `field`, `current` and `new` for each leaf value that differs."""
    old_leaves, new_leaves = flatten_contract(fill_defaults(current)), flatten_contract(new)
    return [
        {"field": name, "current": old_leaves.get(name), "new": new_leaves.get(name)}
        for name in sorted(old_leaves | new_leaves)
        if old_leaves.get(name) != new_leaves.get(name)
    ]


def format_differences(rows: list[dict[str, Any]]) -> str:
    """Format the rows of `compare_contracts` as a table."""
    if not rows:
        return "no difference"
    return format_table([list(row.values()) for row in rows], ["field", "current", "new"])


class ContractCommands:
    """Subcommands of `contract`.

    Args:
        client: client of the daemon.
        console: output of intermediate results.
    """

    def __init__(self, client: DaemonClient, console: Console) -> None:
        self.client = client
        self.console = console

    def apply(
        self, file: str, *, base_version: int | None = None, author: str = ""
    ) -> CommandOutcome:
        """Apply a contract file unless the contract has changed since its base version.

        Args:
            file: TOML file, or JSON file if its name ends in .json
            base_version: version on which the file is based, 0 for a new contract; by default the
                current version, which is then shown with the changes
            author: author to record in the history; the login name by default

        Returns:
            The new version, or the version conflict with both versions.
        """
        contract = read_contract(file)
        if isinstance(contract, Failure):
            return contract
        if base_version is not None and base_version < 0:
            return build_usage_failure(
                "--base-version", base_version, "a whole number of at least 0"
            )
        customer = contract["customer"]
        if base_version is None:
            current = self._read_current(customer)
            if isinstance(current, Failure):
                return current
            base_version = current.version
            self._show_current(current, contract)
        body = {
            "base_version": base_version,
            "contract": contract,
            "author": author or get_default_author(),
        }
        outcome = self.client.write("PUT", build_path("contracts", customer), body)
        recovery_advice = (
            f"check the outcome with: fireflywharf contract history {customer}; a retry with "
            f"--base-version {base_version} cannot apply the change twice"
        )
        return self._explain_conflict(
            convert_write_outcome(
                outcome,
                AppliedAnswer,
                lambda answer: f"{answer.customer}: version {answer.version} applied",
                recovery_advice,
            ),
            customer,
        )

    def get(self, name: str) -> CommandOutcome:
        """Print the contract of a customer as TOML that contract apply accepts.

        Args:
            name: name of the customer

        Returns:
            The contract and its version.
        """
        return convert_read_outcome(
            self.client.read(build_path("contracts", name)),
            ContractAnswer,
            lambda answer: format_contract(fill_defaults(answer.contract), answer.version),
        )

    def list_all(self) -> CommandOutcome:
        """List the contracts and their versions.

        Returns:
            One row for each contract.
        """
        return convert_read_outcome(
            self.client.read(build_path("contracts")), ContractsAnswer, _format_contract_list
        )

    def history(self, name: str) -> CommandOutcome:
        """List the changes of a contract, including those refused because of a conflict.

        Args:
            name: name of the customer

        Returns:
            One row for each change.
        """
        return convert_read_outcome(
            self.client.read(build_path("contracts", name, "history")),
            HistoryAnswer,
            _format_history,
        )

    def diff(self, file: str) -> CommandOutcome:
        """Show what a contract file would change.

        Args:
            file: TOML file, or JSON file if its name ends in .json

        Returns:
            One row for each field that differs.
        """
        contract = read_contract(file)
        if isinstance(contract, Failure):
            return contract
        current = self._read_current(contract["customer"])
        if isinstance(current, Failure):
            return current
        rows = compare_contracts(current.contract, contract)
        document = {
            "code": int(ResultCode.OK),
            "customer": current.customer,
            "version": current.version,
            "differences": rows,
        }
        title = f"{current.customer}: file against version {current.version}"
        return Report(ResultCode.OK, document, f"{title}\n{format_differences(rows)}")

    def check(self, file: str) -> CommandOutcome:
        """Validate a contract file without calling a daemon and list all problems.

        Args:
            file: TOML file, or JSON file if its name ends in .json

        Returns:
            The contract with all defaults filled in, or all problems.
        """
        contract = read_contract(file)
        if isinstance(contract, Failure):
            return contract
        document = {"code": int(ResultCode.OK), "contract": contract}
        return Report(ResultCode.OK, document, f"{file}: valid contract of {contract['customer']}")

    def _read_current(self, customer: str) -> ContractAnswer | Failure:
        outcome = self.client.read(build_path("contracts", customer))
        if isinstance(outcome, ResponseReceived) and outcome.code is ResultCode.UNKNOWN_CONTRACT:
            return ContractAnswer(customer=customer, version=0, contract={})
        report = convert_read_outcome(outcome, ContractAnswer, lambda _: "")
        if isinstance(report, Failure):
            return report
        return convert_response(report.document, ContractAnswer)

    def _show_current(self, current: ContractAnswer, new: dict[str, Any]) -> None:
        if current.version == 0:
            self.console.print_text(f"{current.customer}: no contract yet; base version 0")
            return
        rows = compare_contracts(current.contract, new)
        self.console.print_text(f"current contract of {current.customer}:")
        self.console.print_text(format_contract(fill_defaults(current.contract), current.version))
        self.console.print_text(f"\nchanges against version {current.version}:")
        self.console.print_text(format_differences(rows) + "\n")

    @staticmethod
    def _explain_conflict(outcome: CommandOutcome, customer: str) -> CommandOutcome:
        if not isinstance(outcome, Failure) or outcome.code is not ResultCode.VERSION_CONFLICT:
            return outcome
        base, current = (outcome.extra.get(f"{name}_version") for name in ("base", "current"))
        detail = f"{customer}: base version {base}, current version {current}; nothing was changed"
        advice = (
            f"review the other change with: fireflywharf contract history {customer}; then apply "
            f"with --base-version {current}"
        )
        return build_failure_from_response(outcome.code, outcome.extra | {"detail": detail}, advice)


def _format_contract_list(answer: ContractsAnswer) -> str:
    names = ("share_weight", "priority", "requests_per_second", "late_jobs")
    rows = [
        [item.customer, item.version, *(item.contract.get(name) for name in names)]
        for item in answer.contracts
    ]
    return format_table(rows, ["customer", "version", *names])


def _format_history(answer: HistoryAnswer) -> str:
    rows, previous = [], {}
    for change in answer.changes:
        fields = ", ".join(row["field"] for row in compare_contracts(previous, change.contract))
        result = "applied" if change.won else "refused"
        shown = fields if previous else "(first version)"
        rows.append([change.version, change.time_utc, change.author, result, shown])
        if change.won:
            previous = change.contract
    return format_table(rows, ["version", "time_utc", "author", "result", "changed fields"])
