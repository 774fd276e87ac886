Feature: Daemons on the users' platform
  The daemons run as separate processes against stand-ins of the platform's store, executors and
  advice service.

  Scenario: a job is stored, run and shown by every daemon
    Guards against a path that works at one VM only.

    Given 2 daemons on the platform
    When a caller submits a job with 2 steps at the first daemon
    Then every daemon shows it as complete within 10 s
    And every task has run once

  Scenario: a queue that needs advice
    Guards against starts without a ticket.

    Given 2 daemons on the platform
    When a caller submits a job to the queue that needs advice
    Then every daemon shows it as complete within 10 s
    And the advice service was asked about its step

  Scenario: the scheduler is killed while tasks run
    Guards against lost tasks and second runs after a take-over.

    Given 2 daemons on the platform with tasks of 2 s
    When a caller submits a job with 2 steps at a daemon that does not schedule
    And the scheduler is killed once tasks run
    Then every living daemon shows it as complete within 20 s
    And every task has run once

  Scenario: a graceful shutdown
    Guards against a take-over that waits for silence, and against a process that does not end.

    Given 2 daemons on the platform
    When the scheduler gets SIGTERM
    Then another daemon is scheduler within 1.5 s
    And the process ends with status 0 within 4 s

  Scenario: the store is down
    Guards against callers who wait for an answer that is already known.

    Given 1 daemon on the platform
    When the store is down and a caller submits a job
    Then the caller is told within 1 s to come back
    And after the outage the job was never started

  Scenario: the store loses the answers to appends
    Guards against "not accepted" for a job that runs.

    Given 1 daemon on the platform
    When the store loses answers and a caller submits a job
    Then the caller is told that the outcome is unknown
    And after the outage a repeated submission is the same job

  Scenario: the store drops its history
    Guards against a daemon that cannot go on, and against lost jobs.

    Given 2 daemons on the platform
    When a caller submits a job with 2 steps at the first daemon
    And the store drops its history
    Then every daemon shows it as complete within 10 s

  Scenario: all daemons are killed right after a job was accepted
    Guards against an accepted job that only a process knew.

    Given 2 daemons on the platform with tasks of 2 s
    When a caller submits a job with 2 steps at the first daemon
    And all daemons are killed and started again
    Then every daemon shows it as complete within 20 s
    And every task has run once

  Scenario: metrics
    Guards against a daemon that cannot be watched.

    Given 1 daemon on the platform
    When a caller submits a job with 2 steps at the first daemon
    Then every daemon shows it as complete within 10 s
    And the metrics address shows these samples
      | sample                                              | least |
      | fireflywharf_submissions_total{outcome="accepted"}  | 1     |
      | fireflywharf_run_starts_total{result="started"}     | 5     |
      | fireflywharf_run_ends_total{how="done"}             | 5     |
      | fireflywharf_first_start_seconds_count              | 1     |
      | fireflywharf_take_over_seconds_count                | 1     |

  Scenario: bad input
    Guards against a daemon that fails on what a caller sends.

    Given 1 daemon on the platform
    Then these requests get these answers
      | method | path                   | body                                  | status |
      | POST   | /jobs/00000000000000aa | {"steps": []}                         | 400    |
      | POST   | /jobs/00000000000000aa | {"steps": [{"count": -1}]}            | 400    |
      | POST   | /jobs/00000000000000aa | [1]                                   | 400    |
      | POST   | /jobs/xyz              | {}                                    | 404    |
      | POST   | /nowhere/1             | {}                                    | 404    |
      | GET    | /jobs/00000000000000ab |                                       | 410    |
      | DELETE | /jobs/00000000000000ab |                                       | 410    |
      | PUT    | /jobs/00000000000000ab |                                       | 405    |
    And the daemon is still ready

  Scenario: callers that stop in the middle of a request
    Guards against callers that keep everything that serves others, and against a request that two
    servers would divide in two ways.

    Given 1 daemon on the platform
    When 200 callers send a head and one byte of a body and stop
    Then the daemon says within 0.5 s that it is ready, and takes a job
    And a request with two different lengths is refused and its connection is closed

  Scenario: names of the platform stay in the adapter
    Guards against names of the platform in the product.

    Then no module outside the adapter uses a name of the platform

  Scenario: settings that cannot be used
    Guards against an error that names only the first problem.

    When the settings of the platform lack two fields
    Then the message names both fields

  Scenario: numbers of the settings that cannot be used
    Guards against an error without the name of the field.

    When the settings of the platform hold texts instead of two numbers
    Then the message names "bounds.max_hold_ms" and "limits"

  Scenario: a page of the newest records is cut off
    Guards against daemons on slow links that begin again with each page that fails and never have
    read the whole journal.

    Given a store with 3 pages of records of which the second fails twice
    When the newest records are read
    Then all of them are returned after 5 calls
