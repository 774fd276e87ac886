"""Steps for the settings of the daemon."""

import copy
import pathlib
import tempfile
import tomllib

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflywharf_daemon.settings import load_settings, parse_settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
SINGLE_VM_SETTINGS = ROOT / "examples" / "settings-single.toml"
SEVEN_VM_SETTINGS = sorted((ROOT / "examples" / "seven-vms").glob("entry-*.toml"))


def example_data():
    return tomllib.loads(SINGLE_VM_SETTINGS.read_text())


def parse_and_keep(context, data):
    context.settings, context.settings_problems = parse_settings(data)


@when("the example settings are loaded")
def load_examples(context):
    context.loaded = [load_settings(path) for path in [SINGLE_VM_SETTINGS, *SEVEN_VM_SETTINGS]]


@then("{count:d} settings are valid")
def check_valid_count(context, count):
    problems = [str(problem) for _, found in context.loaded for problem in found]
    assert len(context.loaded) == count and not problems, problems


@then("the seven VMs of the example name each other as peers")
def check_seven_peers(context):
    rows = [loaded for loaded, _ in context.loaded[1:]]
    addresses = {row.mesh.listen for row in rows}
    assert len(addresses) == 7
    for row in rows:
        assert {peer.address for peer in row.mesh.peers} == addresses - {row.mesh.listen}
        own = {(p.failure_domain, p.region) for p in row.mesh.peers}
        assert (row.vm.failure_domain, row.vm.region) in own
    assert len({row.vm.failure_domain for row in rows}) == 3


@when("settings with an invalid port, an unknown key and a lease that is too short are loaded")
def load_three_errors(context):
    data = example_data()
    data["http"]["listen"] = "127.0.0.1:99999"
    data["mesh"]["queue"] = 5
    data["scheduling"] = {"holder_lease_s": 2.0, "renew_interval_s": 1.0}
    parse_and_keep(context, data)


@when('settings with "{field}" set to "{value}" are loaded')
def load_one_value(context, field, value):
    data = example_data()
    section, name = field.split(".")
    data[section][name] = value
    parse_and_keep(context, data)


@when("settings whose peers and key lifetime contradict other fields are loaded")
def load_contradictions(context):
    data = example_data()
    data["mesh"]["peers"] = [
        {"address": "127.0.0.1:7102", "failure_domain": "centro-a", "region": "caribe"},
        {"address": data["mesh"]["listen"], "failure_domain": "caribe-a", "region": "caribe"},
    ]
    data["platform"]["retention_s"] = 100
    data["routing"] = {"key_lifetime_s": 60}
    parse_and_keep(context, data)


@then('the settings problems name the fields "{fields}"')
def check_settings_problems(context, fields):
    assert context.settings is None
    found = sorted({problem.field for problem in context.settings_problems})
    assert found == fields.split(", "), [str(p) for p in context.settings_problems]


@when("{count:d} arbitrary documents are parsed as settings")
def parse_arbitrary_documents(context, count):
    values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["listen", "peers", "name", "address"]), inner),
        max_leaves=6,
    )
    context.seen = []

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given(st.sampled_from(["vm", "http", "mesh", "scheduling", "routing", "x"]), values)
    def run(section, value):
        data = copy.deepcopy(example_data())
        data[section] = value
        parsed, problems = parse_settings(data)
        context.seen.append((parsed is None) == bool(problems))

    run()


@then("each document gave either settings or problems")
def check_arbitrary_results(context):
    assert len(context.seen) >= 100 and all(context.seen)


@when("a settings file with a broken line is loaded")
def load_malformed_file(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "broken.toml"
        path.write_text("[vm]\nname = \n")
        context.settings, context.settings_problems = load_settings(path)


@then("the settings problem names the line")
def check_line_number(context):
    assert context.settings is None
    assert "line 2" in context.settings_problems[0].value, context.settings_problems
