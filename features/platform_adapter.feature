Feature: Daemons on the users' platform
  The daemons run as separate processes against stand-ins for the platform's store, executors and
  approval service.

  Scenario: a job is stored, run and reported by every daemon
    Guards against a job that only the daemon that accepted it can report.

    Given 2 daemons on the platform
    When a caller submits a job with 2 steps at the first daemon
    Then every daemon reports the job as complete within 10 s
    And every task ran exactly once

  Scenario: a queue that requires approval
    Guards against tasks that start without an approval ticket.

    Given 2 daemons on the platform
    When a caller submits a job to the queue that requires approval
    Then every daemon reports the job as complete within 10 s
    And the approval service was asked about its step

  @known_red
  Scenario: the scheduler is killed while tasks run
    Guards against tasks that are lost or run twice after a scheduler failover.

    Given 2 daemons on the platform with tasks of 2 s
    When a caller submits a job with 2 steps at a daemon that is not the scheduler
    And the scheduler is killed once tasks run
    Then every running daemon reports the job as complete within 20 s
    And every task ran exactly once

  Scenario: the scheduler shuts down gracefully
    Guards against a failover that waits until the stopped scheduler has been silent for a while, and
    against a process that does not exit.

    Given 2 daemons on the platform
    When the scheduler receives SIGTERM
    Then another daemon becomes the scheduler within 1.5 s
    And the process exits with status 0 within 4 s

  Scenario: without a fault the scheduler keeps its tenure across renewals
    Guards against elections without end that no lost job reveals: the record loop of the scheduler
    fails at its first renewal, for example because it calls a method that does not exist, which ends
    every tenure at once.

    Given 2 daemons on the platform
    When a caller submits a job with 2 steps at the first daemon
    Then every daemon reports the job as complete within 10 s
    When there is a scheduler and 3 s pass without a fault
    Then the same daemon is still the scheduler of the same tenure
    And no daemon has logged the end of a tenure in this time
    And no daemon has logged an error

  Scenario: the store is down
    Guards against callers who wait for the timeout although the store is known to be down.

    Given 1 daemon on the platform
    When the store is down and a caller submits a job
    Then the caller is told to retry later within 1 s
    And after the outage the job was never started

  Scenario: the store loses the answers to appends
    Guards against a job that runs although its caller was told that it was not accepted.

    Given 1 daemon on the platform
    When the store loses answers and a caller submits a job
    Then the caller is told that the outcome is unknown
    And after the outage a retried submission returns the same job

  Scenario: the store drops its history
    Guards against a daemon that cannot continue to read the store, and against lost jobs.

    Given 2 daemons on the platform
    When a caller submits a job with 2 steps at the first daemon
    And the store drops its history
    Then every daemon reports the job as complete within 10 s

  Scenario: all daemons are killed right after a job was accepted
    Guards against an accepted job that was only in the memory of a process.

    Given 2 daemons on the platform with tasks of 2 s
    When a caller submits a job with 2 steps at the first daemon
    And all daemons are killed and started again
    Then every daemon reports the job as complete within 20 s
    And every task ran exactly once

  Scenario: submissions, runs and the failover are counted in the metrics
    Guards against a daemon that cannot be monitored.

    Given 1 daemon on the platform
    When a caller submits a job with 2 steps at the first daemon
    Then every daemon reports the job as complete within 10 s
    And the metrics endpoint shows at least these values
      | sample                                             | minimum |
      | fireflywharf_submissions_total{outcome="accepted"} | 1       |
      | fireflywharf_run_starts_total{result="started"}    | 5       |
      | fireflywharf_run_ends_total{how="done"}            | 5       |
      | fireflywharf_first_start_seconds_count             | 1       |
      | fireflywharf_take_over_seconds_count               | 1       |

  Scenario: invalid requests are refused
    Guards against a daemon that fails on malformed requests.

    Given 1 daemon on the platform
    Then these requests get these status codes
      | method | path                   | body                       | status |
      | POST   | /jobs/00000000000000aa | {"steps": []}              | 400    |
      | POST   | /jobs/00000000000000aa | {"steps": [{"count": -1}]} | 400    |
      | POST   | /jobs/00000000000000aa | [1]                        | 400    |
      | POST   | /jobs/xyz              | {}                         | 404    |
      | POST   | /nowhere/1             | {}                         | 404    |
      | GET    | /jobs/00000000000000ab |                            | 410    |
      | DELETE | /jobs/00000000000000ab |                            | 410    |
      | PUT    | /jobs/00000000000000ab |                            | 405    |
    And the daemon is still ready

  Scenario: callers stall in the middle of a request
    Guards against stalled callers that occupy all connections or threads, and against request
    smuggling: two servers that read a request with two lengths differently.

    Given 1 daemon on the platform
    When 200 callers send headers and one byte of a body and stall
    Then the daemon reports within 0.5 s that it is ready, and accepts a job
    And a request with two different lengths is refused and its connection is closed

  Scenario: names of the platform are used only in the adapter
    Guards against names of one platform in the packages of the product.

    Then no module outside the adapter uses a name of the platform

  Scenario: missing settings are reported together
    Guards against an error message that names only the first problem.

    When the settings of the platform lack two fields
    Then the error message names both fields

  Scenario: settings of a wrong type are reported with their names
    Guards against an error message without the name of the field.

    When the settings of the platform contain strings instead of two numbers
    Then the error message names "bounds.max_hold_ms" and "limits"

  Scenario: reading the newest records continues after a page fails
    Guards against a daemon on a slow link that restarts at the first page whenever a page fails and
    never reads the whole journal.

    Given a store with 3 pages of records of which the second fails twice
    When the newest records are read
    Then all records are returned after 5 calls
