Feature: Operators' command line against a daemon
  The command line, the daemon and the stand-ins of the platform work together as separate processes.

  # Guards against an interface on which command line and daemon differ, and against a change that
  # is reported as applied although another one won.
  Scenario: an operator's day
    Given stand-ins and a daemon that is ready
    When the CLI applies the example contracts of "consortium"
    And two operators apply changes of "austral" on version 1 at the same time
    Then one apply exits with 0 and the other with 23
    And the refused apply names base version 1 and current version 2
    When the CLI submits the example job "consortium/manifest" and waits for its end
    Then the CLI exits with 0
    And its output is one JSON object with code 0
    When the CLI sends the same request twice with one key
    Then both answers name the same execution
    When the daemon gets SIGTERM
    Then the daemon exits with 0
    When the CLI asks the daemon for its status
    Then the CLI exits with 50
    And its errors contain "refused the connection"

  # Guards against metrics that exist but never count, on which alarms would stay silent.
  Scenario: finished work is counted in the metrics
    Given stand-ins and a daemon that is ready
    When the CLI applies the example contracts of "consortium"
    And the CLI submits the example job "consortium/manifest" until it is accepted
    And the CLI submits the example job "consortium/manifest" and waits for its end
    And the CLI sends the same request twice with one key
    Then these metrics of the daemon have counted
      | metric                                   |
      | fireflywharf_jobs_total                  |
      | fireflywharf_log_appends_total           |
      | fireflywharf_log_records_total           |
      | fireflywharf_requests_total              |
      | fireflywharf_request_wait_seconds_count  |
      | fireflywharf_request_seconds_count       |
      | fireflywharf_http_answers_total          |
      | fireflywharf_decision_seconds_count      |

  # Guards against a job that is refused for good because the scheduler has just started and does not
  # know its workers yet.
  Scenario: a job is not called infeasible while the workers are not known
    Given stand-ins and a daemon that just starts
    When the CLI applies the example contracts of "consortium" as soon as it can
    And the CLI submits the example job "consortium/manifest" until it is accepted
    Then no submission was answered with code 200
