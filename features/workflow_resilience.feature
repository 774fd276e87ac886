Feature: Pauses, unexpected errors and malformed answers around the workflow daemon
  One worker or one answer must not stop the work of the others, and a daemon that was paused or
  suspended must not act on what it knew before.

  Scenario: a report that waited during a pause of the scheduler does not show a stall
    After a pause of the scheduler, it first reads the report that arrived before the pause. Measured
    by the clock, the run then seems to have made no progress for the whole pause and is stopped.

    Given a worker whose run makes progress
    When the scheduler is paused for 5 s and then reads the report from before the pause
    Then the run is not stopped

  Scenario: a state that was read before a suspension of the VM is not current after it
    The monotonic clock stops during suspension. A daemon that relies on it denies jobs that other
    daemons have accepted meanwhile.

    Given a daemon that has read the journal to its end
    When its VM is suspended for 5 s
    Then it does not use its state to deny jobs

  Scenario: an answer that waited during a pause does not make the state current
    The log answered a long poll before the pause, so later records are missing from its answer.

    Given a daemon that has read the journal to its end
    When it is paused for 5 s while the answer of a long poll with a record waits
    Then it does not use its state to deny jobs

  Scenario: a long poll without records shows that the state is complete
    If the age of the state counts from the start of the poll, every query causes a further read of
    the log.

    Given a daemon that has read the journal to its end
    When a long poll of 1 s ends without a record
    Then its state is less than 0.2 s old
