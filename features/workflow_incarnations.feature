Feature: Runs across the restarts of a worker under its id
  A start order is bound to the id of a worker, not to its process, and its answer does not tell which
  process gave it. The directory and the reports show a new process at different times. All times are
  virtual.

  Scenario: a run that the next process of a worker has confirmed runs its task once
    The order may have reached the next process before the directory shows it. If the run counts as
    one of the earlier process, its task is started elsewhere beside it.

    Given a task whose start one of 2 workers has answered
    When the directory shows a later incarnation of that worker
    Then the task is not started a second time within 1 s
    When the later incarnation reports the run as running
    Then the task is not started a second time within 1 s
    When the later incarnation reports the end of the run
    Then the job is complete after one start

  Scenario: a run that the next process has confirmed runs once if a report shows that process first
    Guards the same if the report was requested before the start, so that it may lack the run.

    Given a task whose start one of 2 workers has answered
    When a report of the later incarnation that was requested before the start lacks the run
    Then the task is not started a second time within 1 s
    When the later incarnation reports the run as running
    Then the task is not started a second time within 1 s
    When the later incarnation reports the end of the run
    Then the job is complete after one start

  Scenario: a confirmed run that the next process does not know is started again
    The earlier process confirmed it and has ended with it. A list that was requested after the answer
    decides; without it, the task would never run.

    Given a task whose start one of 2 workers has answered
    When the directory shows a later incarnation of that worker
    Then the task is not started a second time within 1 s
    When a report of the later incarnation that was requested after the answer lacks the run
    Then the task is started a second time at once, under a higher number

  Scenario: a start order without an answer is not repeated to a worker that has become silent
    It may have restarted since. If the scheduler was superseded, its successor may have started the
    task elsewhere, and the next process, which knows no epoch, would accept the repetition.

    Given a task whose start one of 2 workers has left unanswered
    When that worker becomes silent
    Then the order is not repeated within 1.4 s

  Scenario Outline: a run that the ended process had reported is started again at once
    The next process cannot hold it, so waiting for its list or the leases would only delay the task.

    Given a task that the first incarnation of a worker has reported as running
    When <event>
    Then the task is started a second time at once, under a higher number

    Examples:
      | event                                                                                   |
      | the directory shows a later incarnation of that worker                                  |
      | a report of the later incarnation that was requested after the answer lacks the run     |

  Scenario Outline: an entry that shows an earlier process does not end the runs of the present one
    A report may show a new process long before its entry is read. Until that, each change of the
    directory shows the old entry and would end the process that is alive.

    Given a task that the later incarnation of a worker has <run>
    When the directory shows the earlier incarnation again
    Then the task is not started a second time within 1 s
    When the later incarnation reports the end of the run
    Then the job is complete after one start

    Examples:
      | run                                |
      | confirmed                          |
      | confirmed and reported as running  |

  Scenario Outline: a late report of the earlier process does not end the runs of the present one
    Answers on different connections may overtake each other.

    Given a task that the later incarnation of a worker has <run>
    When a report of the earlier incarnation arrives late
    Then the task is not started a second time within 1 s
    When the later incarnation reports the end of the run
    Then the job is complete after one start

    Examples:
      | run                                |
      | confirmed                          |
      | confirmed and reported as running  |

  Scenario Outline: a process that was never seen before its successor does not replace it
    A worker may restart twice before anything shows the first restart. If the successor counted as
    ended, none of its reports would be used any more.

    Given a task on the third incarnation of a worker, which <source> has shown right after the first
    When <late> shows the second incarnation
    Then the task is not started a second time within 1 s
    When the third incarnation reports the end of the run
    Then the job is complete after one start

    Examples:
      | source        | late          |
      | a report      | the directory |
      | the directory | a late report |

  Scenario: a report that was requested later tells which process of a worker is present
    Guards against a worker that is never used again after a wrong entry of the directory.

    Given a task that the first incarnation of a worker has reported as running
    When the directory shows a later incarnation of that worker
    And reports of the first incarnation arrive that were requested after that
    Then the worker is usable

  Scenario Outline: a stop that the earlier process confirmed does not bind the next one
    The next process has forgotten it, and would accept a start order that is still on its way.

    Given a task whose start has no answer, so that its worker is ordered to stop it
    When the worker answers the stop and restarts, and <source> shows the later incarnation
    Then the task waits for 6 s while the later incarnation reports no run
    When the later incarnation answers the stop as well
    Then the task is started a second time at once, under a higher number

    Examples:
      | source        |
      | the directory |
      | a report      |

  Scenario: the end of a run that is no longer needed still counts for its task
    Two runs of a task are known, and the one that was found later ends first. If its end is not
    counted but acknowledged, the task is started again after an end that was taken note of.

    Given a task whose start one of 2 workers has answered
    When the other worker reports a run of the task as running, and then as done
    Then the job is complete after one start

  Scenario Outline: the lease of a run counts from the answer to its start or the lack of one
    A later process may have accepted it. The deadline in the order was a time on the clock of the
    earlier one, so the lease is only bounded by its maximum from the receipt of the order.

    Given <task>
    When that worker answers no poll that was sent after the start
    Then the task is started a second time within 1 s after a full lease from the answer, not earlier

    Examples:
      | task                                                    |
      | a task whose start one of 2 workers has answered        |
      | a task whose start one of 2 workers has left unanswered |

  Scenario: inherited jobs wait for a worker that restarted and left without a report
    Orders of the earlier scheduler may have reached the next process, which knows no epoch and has
    told nobody what it runs.

    Given a job that an earlier scheduler has started on one of 2 workers
    When a new scheduler sees that worker restart in the directory and leave it without a report
    Then the job is started again after the wait for silent workers, not earlier

  Scenario: a process that the directory has not shown yet gets no runs
    The entry of the earlier process has other labels and more capacity, and the reports have neither.
    Work that is placed by that entry runs on a worker that may not run it, or exceeds its capacity.

    Given 2 workers of 4 cores with the label "a", of which one has runs of 3 s
    When that worker restarts with 1 core and the label "b", which its reports show at once
    And 6 tasks of 1 core arrive, half of them for the label "a"
    Then that worker gets no runs for 1 s, and a notice says why once
    And the tasks that the earlier process ran are started on the other worker
    When the directory shows the present process
    Then that worker gets one task of 1 core and none for the label "a"
    And all tasks are complete within 20 s without a violation
