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
