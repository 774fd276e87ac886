Feature: Daemons whose open connections go silent
  The daemons run as separate processes. All connections that are open go silent once, or twice, while
  new ones work. The bounds hold from 4 s after that (`contact_ms`).

  Scenario Outline: a job is cancelled after the connections to the workers have gone silent
    Guards against a cancelled task that runs on, because each stop order is sent to another silent
    connection, and against start orders that meet the same.

    Given 2 daemons on the platform with 12 idle connections to a worker that runs a lasting job
    When the connections to the workers lose <lost> <times>
    And 5 s after that the job is cancelled at the other daemon
    Then the task of the job ends within 3.2 s
    And the 3 tasks of another job start within 2 s

    Examples:
      | lost     | times                |
      | requests | once                 |
      | answers  | once                 |
      | requests | twice, 1.5 s between |

  Scenario Outline: the configuration changes after the connections to the store have gone silent
    Guards against a daemon that reads a new configuration late, because each read is sent to another
    silent connection.

    Given 2 daemons on the platform that have opened many connections to the store
    When the connections to the store lose <lost> <times>
    And 4.2 s after that a queue is added to the configuration
    Then every daemon serves the new queue within 2.5 s

    Examples:
      | lost     | times                |
      | requests | once                 |
      | answers  | once                 |
      | answers  | twice, 1.5 s between |

  Scenario Outline: leases and the tenure are renewed after all connections have gone silent
    Guards against leases that lapse, and against a scheduler that is replaced, because each renewal is
    sent to another silent connection.

    Given 2 daemons on the platform with 12 idle connections to a worker that runs a lasting job
    When the connections to the workers and to the store lose <lost> <times>
    And the daemons run on for 8 s
    Then no run has lapsed and the lasting job still has its first run
    And the 3 tasks of another job start within 2 s

    Examples:
      | lost     | times                |
      | requests | once                 |
      | answers  | twice, 1.5 s between |
