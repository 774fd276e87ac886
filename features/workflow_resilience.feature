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

  Scenario Outline: a malformed row of a worker is a failed poll
    If the row raises another error, the session with the worker fails and the tenure ends. The next
    scheduler polls the same worker, so no scheduler stays.

    When a worker answers a poll with <row> in "<list>"
    Then the poll has failed and the worker was told no more

    Examples:
      | list     | row                         |
      | finished | [1, 12, 1, "done", ""]      |
      | finished | {"task": "a.0.0.0"}         |
      | finished | [1, "a.0.0.0", 1, ["done"]] |
      | running  | [null, 1, "", 5]            |
      | running  | {"task": "a.0.0.0"}         |

  Scenario: an unexpected error in a poll does not end the tenure
    Guards against errors that no client foresees: the worker counts as silent and is polled again.

    Given a worker client that raises an unexpected error at the first poll
    When a session with the worker runs for 1 s
    Then the scheduler has seen the worker silent and then a report

  Scenario: a failed loop of a daemon is restarted
    Otherwise the daemon keeps its address and answers, but never reads its journal or configuration
    again.

    Given a daemon whose loop raises an unexpected error at its first turn
    When 1 s passes
    Then the loop runs again

  Scenario Outline: an append whose answer cannot be processed does not block later ones
    The records may have been stored, so the outcome is uncertain unless a repetition succeeds. If
    the error ends the loop of the appender, all later callers wait in vain.

    Given a log whose first append <fails>
    When two records are appended one after the other
    Then the first append is <outcome> and the second one is stored

    Examples:
      | fails                         | outcome   |
      | raises an unexpected error    | uncertain |
      | is answered without an offset | stored    |

  Scenario Outline: a daemon notices soon that a silent log answers again
    Reads that were sent to the silent log get no answer. If the daemon waits for them until their
    usual timeout, or for longer after each failure, it rejects submissions for seconds after the end
    of the outage.

    Given a daemon that follows a log
    When the log gives no answer for <outage_s> s and then answers again
    Then the daemon's state is current within 0.7 s

    Examples:
      | outage_s |
      | 4        |
      | 4.6      |

  Scenario Outline: tasks whose ends do not fit in one report are not started again
    A worker lists a limited number of ends in one answer. A run that is missing from a list that was
    cut has not been lost, and its task may be done.

    Given a worker with 600 tasks that all end while it is cut off
    When it answers again <scheduler>
    Then every task has been started once and its job is complete

    Examples:
      | scheduler                          |
      | the scheduler that started them    |
      | the successor of that scheduler    |

  Scenario Outline: the client of a worker tells whether the list of ends is complete
    When a worker answers a poll with <count> ends
    Then the list of ends counts as <complete>

    Examples:
      | count | complete   |
      | 499   | complete   |
      | 500   | incomplete |

  Scenario Outline: the log tells why a run counts as ended without its end
    Otherwise nobody can tell afterwards why a task ran twice.

    Given a worker whose run makes progress
    When the worker <event>
    Then the log names the run as lost because "<cause>"

    Examples:
      | event                        | cause                                             |
      | is silent for 12 s           | the worker was silent until its leases had expired |
      | restarts and reports so      | the process of the worker has ended               |
      | reports an empty list        | the worker reported neither the run nor its end   |

  Scenario: the log names the runs and workers that a new scheduler takes over
    Given a worker whose run makes progress
    When another scheduler takes over and the worker answers it
    Then the log names the run as adopted and no worker as assumed to have ended its runs
