Feature: HTTP interface of the daemon
  Every input gets one answer with a result code. A faulty or stalled caller does not affect others.

  Background:
    Given an HTTP interface with 4 threads, a body limit of 4096 bytes and a time limit of 0.5 s

  Scenario Outline: faulty input gets its result code
    Guards against tracebacks, hanging connections and wrong result codes.
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
      | headers without end             | 408    | BODY_INCOMPLETE |
      | length above the body           | 408    | BODY_INCOMPLETE |
      | length that is not a number     | 400    | INVALID_FIELD   |
      | negative length                 | 400    | INVALID_FIELD   |
      | length and chunks               | 400    | INVALID_FIELD   |
      | two different lengths           | 400    | INVALID_FIELD   |
      | chunk size that is not a number | 400    | INVALID_FIELD   |

    @known_red
    Examples: bodies that arrive slowly
      | request                         | status | name            |
      | body one byte at a time         | 408    | BODY_INCOMPLETE |

    Examples: routes and fields
      | request                           | status | name             |
      | path that does not exist          | 404    | UNKNOWN_ROUTE    |
      | method that does not exist        | 404    | UNKNOWN_ROUTE    |
      | unknown query parameter           | 400    | INVALID_FIELD    |
      | request line that is not HTTP     | 400    | INVALID_FIELD    |
      | unknown customer                  | 403    | UNKNOWN_CUSTOMER |
      | request without a required key    | 400    | INVALID_FIELD    |
      | contract for another name         | 400    | INVALID_FIELD    |
      | contract that is not valid        | 400    | INVALID_CONTRACT |
      | contract change on an old version | 409    | VERSION_CONFLICT |
      | call whose handler fails          | 500    | INTERNAL_ERROR   |

  Scenario: all errors of a job are reported together
    When a job with an unknown field, no key and a negative size is submitted
    Then the HTTP answer lists problems of "key, priority, size.processors_millicores"

  Scenario: the traceback of an internal error appears only in the log
    When the raw request "call whose handler fails" is sent
    Then the HTTP answer does not contain "Traceback" or "secret detail"
    And the log contains "secret detail"

  Scenario: idle and stalled connections do not delay other callers
    Guards against connections that send nothing and occupy all threads.
    When 40 callers connect and send nothing
    And 3 callers send part of a body and stall
    Then a health check is answered within 0.3 s

  Scenario: more callers stall in the middle of a request than there are threads
    Guards against callers that occupy every thread until the time limit for a body, 10 s.

    Given the HTTP interface is restarted with 64 threads and a time limit of 10 s
    When 200 callers send part of a body and stall
    Then a health check is answered within 2 s

  Scenario: an overloaded entry VM refuses requests as not run and still answers health checks
    Given the service blocks each request for 1.5 s
    When 12 callers send a request concurrently
    Then some HTTP answers are "QUEUE_FULL" with retry_after_s and the others "OK"
    And a health check was answered while requests were waiting

  Scenario: asynchronous answers occupy no thread
    Given the service completes each request asynchronously after 0.6 s
    When 100 callers send a request concurrently
    Then all HTTP answers are "OK" and each caller received the answer to its own request

  Scenario: pipelined requests on one connection are answered in order
    When pipelined requests are sent on one connection
    Then the answers arrive in the order of the requests

  Scenario: a graceful stop finishes requests in progress
    Given the service completes each request asynchronously after 0.6 s
    When 5 callers send a request and the server is stopped with a deadline of 3 s
    Then no request was cut off and all HTTP answers are "OK"
    And new connections are refused

  @known_red
  Scenario: a stop with a short deadline ends in time and reports that requests were cut off
    Given the service blocks each request for 2.0 s
    When 2 callers send a request and the server is stopped with a deadline of 0.3 s
    Then the stop ended within 1.5 s and reported requests that were cut off
