Feature: HTTP interface of the daemon
  Callers get one clear answer to every input. A faulty or silent caller takes nothing from others.

  Background:
    Given an HTTP interface with 4 threads, a body limit of 4096 bytes and a time limit of 0.5 s

  Scenario Outline: faulty input gets its result code
    Guards against stack traces, hanging connections and wrong codes.
    When the raw request "<request>" is sent
    Then the HTTP answer has status <status> and code name "<name>"

    Examples: bodies
      | request                         | status | name            |
      | body that is not JSON           | 400    | INVALID_JSON    |
      | body with a field given twice   | 400    | INVALID_JSON    |
      | body nested 4000 deep           | 400    | INVALID_JSON    |
      | body that is not UTF-8          | 400    | INVALID_JSON    |
      | body with a lone surrogate      | 400    | INVALID_JSON    |
      | no body and no length           | 400    | INVALID_JSON    |
      | body over the limit             | 413    | BODY_TOO_LARGE  |
      | chunk over the limit            | 413    | BODY_TOO_LARGE  |
      | chunks over the limit together  | 413    | BODY_TOO_LARGE  |
      | body without end                | 408    | BODY_INCOMPLETE |
      | chunked body without end        | 408    | BODY_INCOMPLETE |
      | body one byte at a time         | 408    | BODY_INCOMPLETE |
      | headers without end             | 408    | BODY_INCOMPLETE |
      | length above the body           | 408    | BODY_INCOMPLETE |
      | length that is not a number     | 400    | INVALID_FIELD   |
      | negative length                 | 400    | INVALID_FIELD   |
      | length and chunks               | 400    | INVALID_FIELD   |
      | two different lengths           | 400    | INVALID_FIELD   |
      | chunk size that is not a number | 400    | INVALID_FIELD   |

    Examples: routes and fields
      | request                         | status | name             |
      | path that does not exist        | 404    | UNKNOWN_ROUTE    |
      | method that does not exist      | 404    | UNKNOWN_ROUTE    |
      | unknown query parameter         | 400    | INVALID_FIELD    |
      | request line that is not HTTP   | 400    | INVALID_FIELD    |
      | unknown customer                | 403    | UNKNOWN_CUSTOMER |
      | request without a needed key    | 400    | INVALID_FIELD    |
      | contract for another name       | 400    | INVALID_FIELD    |
      | contract that is not valid      | 400    | INVALID_CONTRACT |
      | contract change that lost       | 409    | VERSION_CONFLICT |
      | call that fails inside          | 500    | INTERNAL_ERROR   |

  Scenario: all errors of a job are named at once
    When a job with an unknown field, no key and a negative size is submitted
    Then the HTTP answer lists problems of "key, priority, size.processors_millicores"

  Scenario: an internal error shows its traceback in the log only
    When the raw request "call that fails inside" is sent
    Then the HTTP answer does not contain "Traceback" or "secret detail"
    And the log contains "secret detail"

  Scenario: silent and stalled connections keep no other caller waiting
    Guards against connections that are silent for good and hold the threads.
    When 40 callers connect and send nothing
    And 3 callers send half a body and stop
    Then a healthy check is answered within 0.3 s

  Scenario: more callers stop in the middle of a request than there are threads
    Guards against callers that keep every thread until the time limit for a body, 10 s.

    Given the HTTP interface is started again with 64 threads and a time limit of 10 s
    When 200 callers send half a body and stop
    Then a healthy check is answered within 2 s

  Scenario: a full entry VM refuses as not run and still answers checks
    Given the service answers requests after 1.5 s
    When 12 callers send a request at once
    Then some HTTP answers are "QUEUE_FULL" with retry_after_s and the others "OK"
    And a healthy check was answered while they waited

  Scenario: deferred answers hold no thread
    Given the service defers answers by 0.6 s
    When 100 callers send a request at once
    Then all HTTP answers are "OK" and each caller got the answer to its own request

  Scenario: two requests on one connection get their own answers in order
    When two requests are sent at once on one connection
    Then both answers come in order

  Scenario: a graceful stop finishes requests in progress
    Given the service defers answers by 0.6 s
    When 5 callers send a request and the server is stopped with a deadline of 3 s
    Then the stop was complete and all HTTP answers are "OK"
    And new connections are refused

  Scenario: a stop with a short deadline ends in time and says that it cut requests
    Given the service answers requests after 2.0 s
    When 2 callers send a request and the server is stopped with a deadline of 0.3 s
    Then the stop was cut within 1.5 s
