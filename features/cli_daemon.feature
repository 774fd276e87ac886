Feature: Operators' command line against a daemon
  The command line and the daemon run as separate processes against stand-ins for the platform.

  # Guards against an HTTP interface that the command line and the daemon implement differently, and
  # against a contract change that is reported as applied although a concurrent one was applied.
  Scenario: contracts, jobs, requests and shutdown work through the command line
    Given stand-ins and a ready daemon
    When the CLI applies the example contracts of "consortium"
    And two operators apply changes to "austral" on version 1 concurrently
    Then one apply exits with 0 and the other with 23
    And the refused apply names base version 1 and current version 2
    When the CLI submits the example job "consortium/manifest" and waits until it is done
    Then the CLI exits with 0
    And its output is one JSON object with code 0
    When the CLI sends the same request twice with the same key
    Then both answers name the same execution
    When the daemon receives SIGTERM
    Then the daemon exits with 0
    When the CLI asks the daemon for its status
    Then the CLI exits with 50
    And its errors contain "refused the connection"

  # Guards against metrics that are exported but never increase, so that alerts on them never fire.
  Scenario: finished work is counted in the metrics
    Given stand-ins and a ready daemon
    When the CLI applies the example contracts of "consortium"
    And the CLI submits the example job "consortium/manifest" until it is accepted
    And the CLI submits the example job "consortium/manifest" and waits until it is done
    And the CLI sends the same request twice with the same key
    Then these metrics of the daemon are above 0
      | metric                                   |
      | fireflywharf_jobs_total                  |
      | fireflywharf_log_appends_total           |
      | fireflywharf_log_records_total           |
      | fireflywharf_requests_total              |
      | fireflywharf_request_wait_seconds_count  |
      | fireflywharf_request_seconds_count       |
      | fireflywharf_http_answers_total          |
      | fireflywharf_decision_seconds_count      |

  # Guards against a final refusal of a job by a scheduler that has just started and has not yet
  # received the reports of its workers.
  Scenario: a job is not refused as infeasible before the scheduler knows its workers
    Given stand-ins and a daemon that is starting
    When the CLI applies the example contracts of "consortium" until they are accepted
    And the CLI submits the example job "consortium/manifest" until it is accepted
    Then no submission was answered with code 200
