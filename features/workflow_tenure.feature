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

  Scenario: a slow answer does not make the latest confirmation of a tenure seem younger
    A successor may have begun between the sending of an append and its answer.

    Given an active scheduler on a log that answers an append after 0.3 s
    When the log has answered the first append
    Then the scheduler counts the confirmation from the sending of that append

  Scenario Outline: an append confirms its tenure from the first attempt that may have been stored
    The log answers a repetition as it answered the attempt that took effect, after which a
    successor may have begun. A rejected attempt had no effect; counted, it would hold up starts.

    When the attempts of an append end with <answers>
    Then the confirmation counts from attempt <number>, on both clocks

    Examples:
      | answers                      | number |
      | stored                       | 1      |
      | no answer, stored            | 1      |
      | no answer, no answer, stored | 1      |
      | no answer, rejected, stored  | 1      |
      | rejected, stored             | 2      |
      | rejected, no answer, stored  | 2      |
      | rejected, rejected, stored   | 3      |

  Scenario: a confirmation that a task waits for is requested and used at once
    If it came with the next renewal or the next regular decision, each start after the first report
    of a worker would be late by up to 0.25 s.

    Given an active scheduler that renews its tenure and decides without a cause only every 30 s
    And a log that answers an append after 0.05 s
    When a worker reports for the first time while a task waits for it
    Then one tenure record is appended and the task is started within 0.2 s
    And no tenure record was appended before the report
