"""Steps for the parser of contracts."""

from behave import then, when

from fireflywharf_core.contracts import parse_contract


def make_contract_data():
    """Return a minimal valid contract in the form in which JSON or TOML decodes it."""
    quota = {"processors_millicores": "unlimited", "memory_mb": 1, "accelerators_count": 0}
    return {
        "customer": "austral",
        "share_weight": 2.0,
        "quota": quota,
        "requests_per_second": "unlimited",
        "queue_max_tasks": 100,
    }


@when("a contract with three errors is parsed")
def parse_three_errors(context):
    data = make_contract_data() | {"customer": "Not A Name", "share_weight": -1, "priority": 11}
    context.contract, context.problems = parse_contract(data)


@when("a contract without a quota is parsed")
def parse_without_quota(context):
    data = make_contract_data()
    del data["quota"]
    context.contract, context.problems = parse_contract(data)


@then('the problems name the fields "{fields}"')
def check_problem_fields(context, fields):
    assert context.contract is None
    found = sorted(problem.field for problem in context.problems)
    assert found == fields.split(", "), found
