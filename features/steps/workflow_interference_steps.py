"""Steps for tasks that slow each other down when they share a worker."""

import logging
import statistics
import unittest.mock

import attrs
from behave import given, then, when
from prometheus_client import CollectorRegistry
from workflow_interference_world import InterferenceWorld

from fireflywharf_core.workflows import InterferenceModel, StartRun, explain_waiting
from fireflywharf_core.workflows._interference import InterferenceCosts
from fireflywharf_daemon.workflows._interference_log import InterferenceLog
from fireflywharf_daemon.workflows._metrics import WorkflowMetrics

RATES = {"a": 2.0, "b": 2.0, "c": 2.0}
WORK_S = {"a": 2.0, "b": 3.0, "c": 0.8, "e": 0.3, "s": float("inf")}


class IdleModel(InterferenceModel):
    """Model that learns nothing and has no effect."""

    def observe(self, worker, event, now_s):
        """Ignore a report."""

    def predict(self, step, workers, now_s):
        """Return no costs."""
        return InterferenceCosts()


def make_world(**options):
    world = InterferenceWorld(**options)
    world.work_s.update(WORK_S)
    world.tail_probability = 0.03
    return world


def image_pairs(model):
    return {(slowed[1], neighbour[1]) for slowed, neighbour in model.significant_}


def drain(world):
    """Let all runs end while no evidence is added."""
    world.tail_probability = 0.0
    world.model.observe = lambda *_: None
    world.run(20.0)


def images_by_worker(world):
    return {
        name: [run.spec.image for run in worker.active_runs.values()]
        for name, worker in world.workers.items()
    }


@given(
    "{count:d} workers on which images {one} and {other} run at half their speed beside each other"
)
def add_interfering_workers(context, count, one, other):
    context.options = {
        "workers_count": count,
        "speed_factors": {(one, other): 0.5, (other, one): 0.5},
    }
    context.world = make_world(**context.options)


@given("{count:d} workers on which image {slowed} runs at half its speed beside {neighbour}")
def add_slowed_image(context, count, slowed, neighbour):
    context.world = make_world(workers_count=count, speed_factors={(slowed, neighbour): 0.5})


@given("{count:d} workers without interference, with {noise}")
def add_noisy_workers(context, count, noise):
    world = context.world = make_world(workers_count=count)
    for index, worker in enumerate(world.workers.values()):
        worker.speed = 1.3 if index % 2 else 1.0
        if "fifth" in noise and index < 2:
            worker.speed = 0.2
        if "half" in noise and index < 6:
            worker.speed = 0.5
            worker.info = attrs.evolve(worker.info, labels=frozenset({"half"}))
            world.required_labels = {"a": "half"}
    world.publish_directory()
    usual = {worker: worker.speed for worker in world.workers.values()}
    until_s = dict.fromkeys(usual, 0.0)
    factor = 0.0 if "stall" in noise else 0.33

    def disturb():
        for worker, speed in usual.items():
            if world.now_s < until_s[worker]:
                continue
            worker.speed = speed
            if world.rng.random() < 0.0015:
                worker.speed = speed * factor
                until_s[worker] = world.now_s + world.rng.uniform(2.0, 8.0)

    context.disturb = disturb if "stall" in noise or "third" in noise else None


@given("jobs of both images and of a third one have arrived for {seconds:g} s")
@when("jobs of both images and of a third one arrive for {seconds:g} s")
def run_load(context, seconds):
    context.world.run_load(seconds, RATES, getattr(context, "disturb", None))
    context.seconds = seconds


@then("it is known that a and b slow each other and no other pair")
def check_pairs(context):
    found = image_pairs(context.world.model)
    assert found and found <= {("a", "b"), ("b", "a")}, found


@then(
    "their callers wait at most {percent:d} in 100 of the time that they wait without the detection"
)
def check_waits(context, percent):
    other = make_world(**context.options)
    other.scheduler.runs.interference = IdleModel()
    other.run_load(context.seconds, RATES)
    for image in ("a", "b"):
        waits_s = [statistics.mean(w.waits_s[image]) for w in (context.world, other)]
        print(f"image {image}: mean wait {waits_s[0]:.2f} s, without detection {waits_s[1]:.2f} s")
        assert waits_s[0] <= percent / 100 * waits_s[1], (image, waits_s)
        assert len(context.world.waits_s[image]) > 100


@when("3 tasks of a run on each worker and 9 tasks of b arrive")
def submit_to_full_workers(context):
    world = context.world
    assert image_pairs(world.model)
    drain(world)
    world.submit_image("a", count=24, max_per_worker=3)
    world.run(0.5)
    world.submit_image("b", count=9)
    world.run(0.15)


@then("8 of them start at once, one on each worker")
def check_immediate_starts(context):
    images = images_by_worker(context.world)
    assert all(sorted(present) == ["a", "a", "a", "b"] for present in images.values()), images


@then("the explanation of the waiting one names the pair")
def check_explanation(context):
    world = context.world
    (row,) = explain_waiting(world.scheduler, world.now_s, 0.0, 8)
    assert row["places"] == 0 and row["waiting"] == 1, row
    pairs = {(pair["slowed"], pair["neighbour"]) for pair in row["interference"]}
    assert pairs and pairs <= {("q a", "q b"), ("q b", "q a")}, row
    assert all(pair["slowdown"] > 0.5 and pair["observations"] > 5 for pair in row["interference"])


@when("one job with 8 tasks of a arrives at idle workers")
def submit_to_idle_workers(context):
    assert ("a", "a") in image_pairs(context.world.model)
    drain(context.world)
    context.world.submit_image("a", count=8)
    context.world.run(0.15)


@then("its tasks run on {count:d} workers")
def check_spread(context, count):
    images = images_by_worker(context.world)
    assert sum("a" in present for present in images.values()) == count, images


@when(
    "a runs on half of the workers, c occupies more of the others,"
    " and a gang of 4 tasks of b arrives"
)
def submit_gang_beside(context):
    world = context.world
    assert image_pairs(world.model)
    drain(world)
    world.work_s["c"] = 5.0
    world.submit_image("c", count=4, cpu=2500, max_per_worker=1)
    world.run(0.15)
    world.submit_image("a", count=4, cpu=2000, max_per_worker=1)
    world.run(0.15)
    world.submit_image("b", count=4, gang=True)
    world.run(0.15)


@then("no member of the gang runs beside a")
def check_gang(context):
    images = images_by_worker(context.world)
    assert sum("b" in present for present in images.values()) == 4, images
    assert not any({"a", "b"} <= set(present) for present in images.values()), images


@then("no pair has ever been significant")
def check_no_detection(context):
    model = context.world.model
    assert len(model.pairs_) >= 6, model.pairs_
    assert model.found_count_ == 0, model.significant_


@when("tasks of s with an objective of 60 ms run on all workers beside changing tasks of a")
def run_serving_tasks(context):
    context.world.submit_image(
        "s", count=8, max_per_worker=1, long_running=True, tail_objective_ms=60.0
    )
    context.world.run_load(120.0, {"a": 2.0})


@when("jobs of a and short jobs of e arrive for {seconds:g} s")
def run_short_tasks(context, seconds):
    context.seen = set()
    model = context.world.model
    context.world.run_load(
        seconds, {"a": 4.0, "e": 10.0}, lambda: context.seen.update(image_pairs(model))
    )


@then("it has become known that a slows e and nothing else")
def check_short_tasks(context):
    # Once both are placed apart, the evidence may fade within the time of the load.
    assert context.seen == {("e", "a")}, context.seen


@then("it is known that a slows s")
def check_serving_tasks(context):
    assert ("s", "a") in image_pairs(context.world.model), context.world.model.significant_


@then("nothing is known about tasks of s with an objective of 200 ms")
def check_lenient_objective(context):
    world = make_world(**context.options)
    world.submit_image("s", count=8, max_per_worker=1, long_running=True, tail_objective_ms=200.0)
    world.run_load(120.0, {"a": 2.0})
    assert ("s", "a") not in image_pairs(world.model), world.model.significant_


@when("no jobs arrive for {seconds:g} s")
def pass_time(context, seconds):
    world = context.world
    context.lines = []
    context.metrics = WorkflowMetrics(CollectorRegistry())
    log = InterferenceLog(world.model, context.metrics)
    logger = logging.getLogger("fireflywharf_daemon.workflows._interference_log")
    with unittest.mock.patch.object(
        logger, "info", lambda message, extra: context.lines.append((message, extra))
    ):
        log.update(world.now_s)
        context.found_samples = samples(context.metrics)
        world.run_load(seconds, {}, lambda: log.update(world.now_s))


def samples(metrics):
    return [row for family in metrics.interference_slowdown.collect() for row in family.samples]


@then("no pair is significant")
def check_decay(context):
    assert not context.world.model.significant_, context.world.model.significant_


@then("the log has named the pair when it began and when it ended, and the metrics are empty")
def check_log(context):
    began = [row["slowed"] for message, row in context.lines if message == "tasks slow each other"]
    ended = [row["slowed"] for message, row in context.lines if "no longer" in message]
    assert began and sorted(began) == sorted(ended), context.lines
    assert {row.labels["slowed"] for row in context.found_samples} == set(began)
    assert not samples(context.metrics)


@when("jobs of {count:d} other images arrive for {seconds:g} s")
def run_many_images(context, count, seconds):
    world = context.world
    rates = {f"x{index}": 0.5 for index in range(count)}
    world.work_s.update(dict.fromkeys(rates, 2.5))
    world.run_load(seconds, rates, cpu=500)


@then("at most {count:d} pairs are kept, and a and b are among them")
def check_bound(context, count):
    model = context.world.model
    print(f"{len(model.pairs_)} pairs")
    assert 200 <= len(model.pairs_) <= count, len(model.pairs_)
    assert image_pairs(model) & {("a", "b"), ("b", "a")}, model.significant_


@when("the same jobs run with and without the detection on workers without interference")
def run_twice(context):
    context.starts = []
    for model in (None, IdleModel()):
        world = make_world()
        if model is not None:
            world.scheduler.runs.interference = model
        world.run_load(60.0, RATES)
        world.run(10.0)
        rows = [a for a in world.actions if isinstance(a, StartRun)]
        context.starts.append([(a.task, a.worker_id, a.ordered_s) for a in rows])


@then("all tasks have started on the same workers at the same times")
def check_same_starts(context):
    assert len(context.starts[0]) > 200
    assert context.starts[0] == context.starts[1]
