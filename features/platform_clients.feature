Feature: Clients of the platform
  A request that is reported as not run was not run, and a request that may have run is never reported
  as not run.

  Scenario Outline: each fault of a target maps to an outcome and a reason
    Guards against a retry of a request that may have run, and against wrong answers.
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

  Scenario: a request on a silent connection fails after the read timeout
    Given a target that behaves as "silent"
    When a request with a budget of 5.0 s and a read timeout of 0.3 s is sent to it
    Then the target outcome is "Failed" with reason "silent" within 1.0 s

  Scenario: the other pooled connections are replaced after one request without an answer
    Guards against a lost request for each connection that has gone silent while it was idle.
    Given a target that behaves as "slow" behind a proxy
    When 6 requests are sent to it at once, its connections go silent, and 4 follow one by one
    Then 1 of the 4 requests failed

  Scenario: a pooled connection that the target has closed is replaced before the request is sent
    Given a target that behaves as "answer once and close"
    When 5 requests are sent to it one after another
    Then all target outcomes are "Success" and the target received 5 requests

  Scenario: a pooled connection that breaks after the request was sent is not reported as not run
    Guards against a non-idempotent request that is sent twice.
    Given a target that behaves as "answer once and reset the second"
    When 2 requests are sent to it one after another
    Then the second target outcome is "Failed" and the target received 2 requests

  Scenario: a connection with a wrong answer is not used again
    Guards against answers that are off by one: every later caller gets the answer to another request.
    Given a target that behaves as "one answer late"
    When 4 requests are sent to it one after another
    Then no request received the answer to another

  Scenario: the number of connections to a target is bounded
    Given a target that behaves as "slow"
    When 12 requests with a budget of 5.0 s are sent to it concurrently over at most 5 connections
    Then the target has seen at most 3 concurrent connections
    And all target outcomes are "Success" and the target received 12 requests

  Scenario: a request that gets no connection in time is not sent
    Guards against a request that is refused as not run although the target received it.
    Given a target that behaves as "silent"
    When 2 requests use both connections for 0.6 s and 6 requests have a budget of 0.2 s meanwhile
    Then the 6 requests were refused because no connection was free and the target received 2 requests

  Scenario: the clients and the stand-ins implement the same protocol
    Given stand-ins for the log, a worker and a target
    When each call of the log, worker and target clients is made
    Then the stand-ins confirm each call and refuse stale epochs

  Scenario: an append with a lost answer is uncertain and its retry has no second effect
    Given stand-ins for the log, a worker and a target
    When the answer to an append is lost and the append is retried
    Then the first append was uncertain and the log holds the record once

  Scenario: log lines are JSON objects and metrics count refusals by code name
    When a log line with a request id and an exception is written
    Then it is one JSON object with the standard fields
    And a scrape of the metrics shows a refusal by its code name
