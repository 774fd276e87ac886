"""State that a daemon keeps about its tenure, and the cuts between tenures and the rest."""

import attrs

from fireflywharf_core.workflows import WorkflowScheduler

CONFIRMATION_S = 6.0
"""Time after the sending of its latest confirmed append for which a tenure may act."""
JOURNAL = "journal"


@attrs.frozen(slots=True)
class Cut:
    """Time in which the tenures of some ordinals do not reach a worker or the journal."""

    target: str
    from_s: float
    until_s: float
    first_ordinal: int
    last_ordinal: int


@attrs.define(slots=True, eq=False)
class Append:
    """An append without an answer; it is sent again until it gets one."""

    records: list
    job_ids: tuple
    ends: dict
    sent_s: float = 0.0
    accepted: bool = False


@attrs.define(slots=True, eq=False)
class Tenure:
    """A scheduler with the state that its daemon keeps.

    Args:
        ordinal: consecutive number of the tenure, which is also its epoch.
        scheduler: the scheduler.
        confirmed_s: sending time of the latest confirmed append, in seconds.
        departures: identifier of the departure by worker id.

    Attributes:
        in_use: ids of the workers in the latest record of those in use.
        renewed_s: sending time of the latest renewal by worker id, in seconds.
        open_polls: sending time of the open poll by worker id, in seconds.
        retry_s: time of the next attempt to reach a silent worker, by its id, in seconds.
        incarnations: incarnation in the latest report by worker id.
        acknowledged: serial of the latest durable end by worker id.
        observed_ends: incarnation and serial of the ends that are not durable yet, by worker id.
        append: the append that is on its way; there is at most one.
        end_cause: why the tenure has ended; empty before.
    """

    ordinal: int
    scheduler: WorkflowScheduler
    confirmed_s: float
    departures: dict
    in_use: set = attrs.field(factory=set)
    directory: dict = attrs.field(factory=dict)
    renewed_s: dict = attrs.field(factory=dict)
    open_polls: dict = attrs.field(factory=dict)
    retry_s: dict = attrs.field(factory=dict)
    incarnations: dict = attrs.field(factory=dict)
    acknowledged: dict = attrs.field(factory=dict)
    observed_ends: dict = attrs.field(factory=dict)
    extra_records: list = attrs.field(factory=list)
    read_job_ids: set = attrs.field(factory=set)
    append: Append | None = None
    appended_s: float = float("-inf")
    end_cause: str = ""

    def may_act(self, now_s):
        """Return whether the tenure may renew leases, decide and send orders."""
        return not self.end_cause and now_s - self.confirmed_s < CONFIRMATION_S
