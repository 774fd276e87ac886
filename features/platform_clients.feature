Feature: Clients of the platform
  What is reported as not run was not run, and what may have run is never reported as not run.

  Scenario Outline: each fault of a target has its outcome
    Guards against a request that is repeated although it may have run, and against wrong answers.
    Given a target that behaves as "<behaviour>"
    When a request with a budget of 0.6 s is sent to it
    Then the target outcome is "<outcome>" with reason "<reason>" within 1.0 s

    Examples:
      | behaviour                      | outcome          | reason            |
      | answer                         | Success          |                   |
      | no listener                    | RefusedBeforeRun | connect_failed    |
      | not run                        | RefusedBeforeRun | not_run           |
      | stale epoch                    | RefusedBeforeRun | stale_epoch       |
      | not run for another request    | Failed           | wrong_request_id  |
      | unavailable without mark       | Success          |                   |
      | reset after the request        | Failed           | reset             |
      | closed after the request       | Failed           | reset             |
      | cut answer                     | Failed           | truncated         |
      | reset inside the answer        | Failed           | truncated         |
      | wrong digest                   | Failed           | wrong_digest      |
      | no digest                      | Failed           | wrong_digest      |
      | crossed request id             | Failed           | wrong_request_id  |
      | no request id                  | Failed           | wrong_request_id  |
      | silent                         | Failed           | timeout           |
      | one byte at a time             | Failed           | timeout           |
      | answer over the limit          | Failed           | too_large         |
      | not HTTP                       | Failed           | malformed         |

  Scenario: a silent connection ends after the time without a byte
    Given a target that behaves as "silent"
    When a request with a budget of 5.0 s and at most 0.3 s of silence is sent to it
    Then the target outcome is "Failed" with reason "silent" within 1.0 s

  Scenario: a pooled connection that was closed meanwhile is replaced before the request is sent
    Given a target that behaves as "answer once and close"
    When 5 requests are sent to it one after another
    Then all target outcomes are "Success" and the target got 5 requests

  Scenario: a pooled connection that breaks after the request left is not taken for not run
    Guards against a non-idempotent request that is sent twice.
    Given a target that behaves as "answer once and reset the second"
    When 2 requests are sent to it one after another
    Then the second target outcome is "Failed" and the target got 2 requests

  Scenario: a connection with a wrong answer is not used again
    Guards against a shift by which every later caller gets the answer of another.
    Given a target that behaves as "one answer late"
    When 4 requests are sent to it one after another
    Then no request got the answer of another

  Scenario: the connections of a target are bounded
    Given a target that behaves as "slow"
    When 12 requests with a budget of 5.0 s are sent to it at once over at most 5 connections
    Then the target has seen at most 3 connections at once
    And all target outcomes are "Success" and the target got 12 requests

  Scenario: a request that gets no connection in time was not sent
    Guards against a refusal as not run of a request that the target got.
    Given a target that behaves as "silent"
    When 2 requests use both connections for 0.6 s and 6 requests have a budget of 0.2 s meanwhile
    Then the 6 requests were refused for want of a connection and the target got 2 requests

  Scenario: the clients agree with the stand-ins
    Given stand-ins for the log, a worker and a target
    When each call of the log, worker and target clients is made
    Then the stand-ins confirm each call and refuse stale epochs

  Scenario: a lost answer of the log is uncertain and a repeat is harmless
    Given stand-ins for the log, a worker and a target
    When the answer to an append is lost and the append is repeated
    Then the first append was uncertain and the log holds the record once

  Scenario: log lines and metrics of the daemon
    When a log line with a request id and an exception is written
    Then it is one JSON object with the standard fields
    And a scrape of the metrics shows a refusal by its code name
