Feature: Jobs in flight at a change of scheduler
  A task waits for the runs of an earlier tenure only if one of them may be its own. A worker that does not
  answer must not hold back the others.

  Scenario Outline: a task waits only if an earlier tenure may have started a run of it
    Guards against one lost worker that holds back all jobs in flight, and against a second run of a task that
    may be at work on that worker.

    Given <work> on the first of four workers, and a task on all but one of the others
    When the <lost> worker falls silent, and another scheduler takes over before it is noticed
    And <event> 1 s later
    Then <task> is started <when>
    And no task runs twice

    Examples:
      | work           | lost  | event                       | task             | when               |
      | a lasting task | last  | the first worker's run fails | it              | within 0.5 s       |
      | a lasting task | first | nothing happens             | it               | after the wait     |
      | a first step   | last  | the first worker's run ends | the next step    | within 0.5 s       |
      | a first step   | first | nothing happens             | it               | after the wait     |
      | a gang of two  | last  | the first worker's run fails | it              | within 0.5 s       |
      | a gang of two  | second | the first worker's run fails | it             | after the wait     |

  Scenario Outline: a task whose run ended before the change waits for the lost worker
    Guards against a second run: the earlier scheduler may have known the end and have started the task again, or
    the next step, on the worker that is lost.

    Given <work> on the first of four workers, and a task on all but one of the others
    When its run <ends>, the earlier scheduler starts <task> on the last worker, which falls silent
    And another scheduler takes over, which knows of neither
    Then <task> is started after the wait
    And no task runs twice

    Examples:
      | work           | ends  | task          |
      | a lasting task | fails | it            |
      | a first step   | ends  | the next step |

  Scenario Outline: leases of earlier tenures are waited for from the latest time at which one can have been given
    Guards against a wait that ends before a lease, and against one that begins anew with each change of scheduler.

    Given a daemon "b" whose process began at 90 s
    When it reads the tenures <records>
    Then the leases of the earlier tenures end <end_s> s after <since> s

    Examples:
      | records                                                     | end_s | since |
      | no earlier tenure                                           | none  | 0     |
      | "c" until 100 s, then its own tenure at 101 s               | 7.42  | 100   |
      | "c" until 100 s, which resigns, then its own tenure at 101 s | 6.42 | 100   |
      | "b" until 100 s, then its own tenure at 101 s               | 6.42  | 90    |
      | "c" until 100 s of an earlier version, then its own tenure at 101 s | 12.42 | 100 |
      | "c" until 100 s, "d" until 104 s, which resigns, then its own tenure at 105 s | 6.42 | 104 |
      | "c" until 100 s, "d" until 100.5 s, which resigns, then its own tenure at 101 s | 7.42 | 100 |
      | at 100 s only the newest record, of "c", for 3 s in office, which resigned, then its own tenure at 101 s | 6.42 | 100 |
      | at 100 s only the newest record, of "c", for 0 s in office, which resigned, then its own tenure at 101 s | 7.42 | 100 |
      | at 100 s only the newest record, of "b", for 3 s in office, then its own tenure at 101 s | 7.42 | 97 |

  Scenario: a scheduler that resigns renews no lease and starts no run afterwards
    Guards against a lease that outlasts the wait of the successor, which counts from the resignation.

    Given an active scheduler that was confirmed just now
    When it begins to resign while the journal does not answer
    Then it gives no lease and starts no run
