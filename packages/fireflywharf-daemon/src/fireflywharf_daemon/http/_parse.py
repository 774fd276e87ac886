"""Validation of decoded JSON bodies and conversion to typed arguments; reports all errors."""

import hashlib
import json
from typing import Any, TypeVar

from fireflywharf_core.checking import NAME_DESCRIPTION, FieldChecker, is_valid_name
from fireflywharf_core.contracts import parse_contract
from fireflywharf_core.jobs import KEY_PATTERN, parse_job
from fireflywharf_core.results import Problem, ResultCode

from ._service import (
    ApplyContract,
    CallerError,
    DeclareDomainLost,
    ExecuteRequest,
    IssueKeys,
    SubmitJob,
)

Value = TypeVar("Value")

KEYS_MAX_COUNT = 1000
DEADLINE_MAX_MS = 3_600_000
LABEL_TEXT = "1 to 64 characters"


def _invalid_input_error(
    problems: list[Problem], code: ResultCode = ResultCode.INVALID_FIELD
) -> CallerError:
    fields = ", ".join(dict.fromkeys(problem.field for problem in problems))
    return CallerError(code, f"not valid: {fields}", tuple(problems))


def _is_label(value: str) -> bool:
    return 1 <= len(value) <= 64 and value.isprintable()


def _is_key(value: str) -> bool:
    return KEY_PATTERN.fullmatch(value) is not None


def parse_submission(data: Any) -> SubmitJob | CallerError:
    """Validate and convert the body of `POST /v1/jobs`."""
    spec, problems = parse_job(data)
    if spec is None:
        return _invalid_input_error(problems)
    canonical = json.dumps(data, sort_keys=True, separators=(",", ":")).encode()
    return SubmitJob(spec=spec, key=data["key"], digest=hashlib.sha256(canonical).hexdigest())


def parse_issue_keys(data: Any) -> IssueKeys | CallerError:
    """Validate and convert the body of `POST /v1/keys`."""
    checker = FieldChecker(data, ResultCode.INVALID_FIELD)
    customer = checker.read_field("customer", str, "the name of a contract", check=bool)
    count = checker.read_field(
        "count", int, f"1 to {KEYS_MAX_COUNT}", check=lambda value: 1 <= value <= KEYS_MAX_COUNT
    )
    problems = checker.finish()
    return _invalid_input_error(problems) if problems else IssueKeys(customer, count)


def parse_request(data: Any) -> ExecuteRequest | CallerError:
    """Validate and convert the body of `POST /v1/requests`."""
    checker = FieldChecker(data, ResultCode.INVALID_FIELD)
    read_field = checker.read_field
    fields = {
        "customer": read_field("customer", str, "the name of a contract", check=bool),
        "service": read_field("service", str, LABEL_TEXT, check=_is_label),
        "kind": read_field("kind", str, LABEL_TEXT, check=_is_label),
        "idempotent": read_field("idempotent", bool, "true or false"),
        "body": read_field("body", str, "text"),
        "key": read_field("key", str, "1 to 128 printable ASCII characters", "", _is_key),
        "deadline_ms": read_field(
            "deadline_ms",
            int,
            f"1 to {DEADLINE_MAX_MS}",
            None,
            lambda value: 1 <= value <= DEADLINE_MAX_MS,
        ),
    }
    if fields["idempotent"] is False and fields["key"] == "":
        checker.add("key", "(missing)", "a key, because the request is not idempotent")
    problems = checker.finish()
    if problems:
        return _invalid_input_error(problems)
    return ExecuteRequest(**(fields | {"body": fields["body"].encode("utf-8")}))


def parse_contract_change(customer: str, data: Any) -> ApplyContract | CallerError:
    """Validate and convert the body of `PUT /v1/contracts/NAME`.

    Args:
        customer: name in the path, which the contract must have too.
        data: decoded body.
    """
    checker = FieldChecker(data, ResultCode.INVALID_FIELD)
    base_version = checker.read_field(
        "base_version", int, "0 for a new contract, or its version", check=lambda value: value >= 0
    )
    author = checker.read_field("author", str, LABEL_TEXT, check=_is_label)
    contract, contract_problems = parse_contract(checker.read_section("contract"))
    if contract is not None and contract.customer != customer:
        checker.add("contract.customer", contract.customer, f"{customer}, as in the path")
    problems = checker.finish()
    if contract_problems:
        return _invalid_input_error(problems + contract_problems, ResultCode.INVALID_CONTRACT)
    if problems or contract is None:
        return _invalid_input_error(problems)
    return ApplyContract(base_version=base_version, contract=contract, author=author)


def parse_declare_domain_lost(domain: str, data: Any) -> DeclareDomainLost | CallerError:
    """Validate and convert the body of `POST /v1/domains/NAME/lost`.

    Args:
        domain: name in the path.
        data: decoded body.
    """
    checker = FieldChecker(data, ResultCode.INVALID_FIELD)
    author = checker.read_field("author", str, LABEL_TEXT, check=_is_label)
    if not is_valid_name(domain):
        checker.add("domain", domain, NAME_DESCRIPTION)
    problems = checker.finish()
    return _invalid_input_error(problems) if problems else DeclareDomainLost(domain, author)
