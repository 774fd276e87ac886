Feature: Work returns to workers that were disrupted
  Workers that were faulty or refused starts are used again soon after they are sound, also by work
  that could not have tested them. All times are virtual.

  Scenario Outline: work that only formerly faulty workers may run starts soon after they are sound
    Guards against a time aside and a probation that add up to more than the 7 s for which an
    accepted job may have nothing running after a disruption.

    Given 6 workers that report every 1.5 s, of which 2 have a label
    And <work> that require the label, alone or beside single tasks without requirements
    When the 2 workers <fault> one to three times for up to 6.5 s, in 20 seeded runs
    Then <work> that arrive when they are sound again start within 7 s

    Examples:
      | work                        | fault            |
      | gangs                       | fail all runs    |
      | single tasks                | fail all runs    |
      | tasks on their only attempt | fail all runs    |
      | gangs with approvals        | fail all runs    |
      | gangs                       | make no progress |
      | single tasks                | make no progress |
      | tasks on their only attempt | make no progress |
      | gangs with approvals        | make no progress |

  Scenario Outline: a task is placed when time alone makes room for it
    A step is only tried again after a run has ended or a worker has joined. On an idle fleet neither
    happens, so a step that was tried too early would wait for ever.

    Given a task that the only idle worker cannot run because <cause>
    When the cause is over and nothing else happens
    Then the task is complete within 7 s

    Examples:
      | cause                                                 |
      | it refuses a start as unhealthy                       |
      | its entry is missing in the directory for a moment    |
      | its capacity is reserved for a gang that is cancelled |

  Scenario: a task runs on places that are kept for urgent tasks while most workers are idle
    Places are kept for as long as urgent tasks were ever seen. A task that only such workers and
    busy ones may run would wait for the end of the long runs on the others.

    Given 5 workers, of which one with a label is idle but kept for urgent tasks, and one is busy
    When a task arrives that requires the label of these two
    Then the task is complete within 7 s

  Scenario: a long-running task is started again on places that are kept for urgent tasks
    Urgent jobs arrive all the time, so that places are always kept, and the other workers are full of
    long runs. The task would wait until these end, beside an idle worker.

    Given 4 workers, of which two are full for a minute, one has a long-running task and one is idle
    And urgent jobs that arrive every 0.5 s
    When the worker of the long-running task restarts without room for it
    Then the long-running task is started again within 3 s
    And places are still kept for urgent tasks

  Scenario: places for urgent tasks are kept for some seconds after the last urgent job
    The learned rate decays in steps and would never reach zero, so that one place would be kept for
    the rest of the tenure, while most capacity is used.

    Given 4 workers, of which two are full for a minute, one has a long-running task and one is idle
    And an urgent job that has ended
    When a task arrives whose only alternative is full
    Then it is started between 3 s and 6 s after the urgent job

  Scenario: a start order that reaches the next process of a worker runs its task once
    An order in flight is not bound to the process, only to the id of the worker. If its task is
    started elsewhere as soon as the process has ended, it runs twice.

    Given 2 workers and a start order to one of them that is delayed in the network
    When the worker restarts under its id and the order arrives 1 s later
    Then its task is complete within 10 s without a second run beside the first

  Scenario: a start order that reaches a process which begins later runs its task once
    Guards the same while no process answers in between, so that no stop order can be confirmed.

    Given 2 workers and a start order to one of them that is delayed in the network
    When the process of the worker ends, and one under its id accepts the order 2 s later
    Then its task is complete within 20 s without a second run beside the first

  Scenario Outline: a new scheduler numbers its runs above the failed runs in the journal
    Two candidates may begin their tenures with the same run numbers. A failure under a number that
    was counted before is not counted again, so a task would get more attempts than it is allowed.

    Given a journal with a failure of run 5 of <work>
    When a scheduler whose first run number is 5 starts it again
    Then that run has number 6

    Examples:
      | work   |
      | a task |
      | a gang |
