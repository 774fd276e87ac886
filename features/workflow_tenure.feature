Feature: The end of a scheduler's tenure
  A daemon outlives the tenures of its scheduler. Nothing that belongs to a tenure may hold up the
  daemon after the tenure, or go on working for it.

  Scenario Outline: a tenure that ends while it records a new worker does not hold up the daemon
    The daemon reads the directory and waits until the worker is recorded. If it waits for good, it
    gives no worker to any later scheduler of its own and starts nothing.

    Given an active scheduler that waits until a new worker is recorded
    When <end>
    Then the daemon waits no longer and no session was opened

    Examples:
      | end                                      |
      | the log rejects its epoch as stale       |
      | the scheduler is closed                  |
      | the append raises an unexpected error    |

  Scenario: a tenure that ends as a new worker is recorded opens no session with it
    A session that is opened after the end is never cancelled. It polls the worker with a stale epoch
    until the process exits.

    Given an active scheduler that waits until a new worker is recorded
    When the scheduler is closed as the log stores the record
    Then the daemon waits no longer and no session was opened

  Scenario: a task that is spawned while its owner closes ends too
    Otherwise it runs on after its owner, as nobody else can cancel it.

    Given background tasks of which one spawns another when it is cancelled
    When their owner closes
    Then no task runs and a task that is spawned later does not start

  Scenario: a query does not wait for a journal read that was cut short
    A timeout may cut the read short. If the query waits for that read, it takes its full timeout
    although the log answers again.

    Given a query that waits for a journal read that is cut short
    When the next read is answered
    Then the query has waited less than 0.3 s

  Scenario Outline: a start order that waited during a pause of its scheduler is not sent
    A successor may have started the task elsewhere between the decision and the sending, also before
    the permission to act runs out. The next process of the worker, which knows no epoch and has
    another clock than the one that the deadline was made for, would accept the order.

    Given an active scheduler that has decided to start a run
    When its process is paused for <pause_s> s before the order is sent
    Then <count> orders are sent

    Examples:
      | pause_s | count |
      | 0       | 1     |
      | 2       | 0     |
      | 7       | 0     |
