Feature: Outages of the log
  Callers are told at once that the log is unavailable, when to retry, and whether their request may
  take effect.

  Scenario Outline: the retries of a caller extend beyond an outage
    Guards against four retries that are used up within the outage, and against callers who all return
    at the same time or wait for longer than 4 s.

    When 400 callers are rejected in an outage of <outage_s> s that their VMs notice within 1.2 s
    Then each caller has a retry after the outage, and no delay is above 4 s
    And the first delays are at most 2 s

    Examples:
      | outage_s |
      | 4        |
      | 9        |

  Scenario Outline: the outcome of a record whose caller gives up
    Guards against an unknown outcome for a record that the log has certainly not taken, and against a
    rejection of a record that is stored later. A rejected record must leave its group.

    Given a log that answers appends with "<answers>"
    When a record with 0.1 s and one with 2 s are appended together
    Then the first record is <outcome> and the log holds <records>

    Examples:
      | answers                              | outcome   | records |
      | rejected rejected rejected stored    | rejected  | b       |
      | unanswered rejected rejected stored  | uncertain | a b     |
      | rejected unanswered rejected stored  | uncertain | a b     |

  Scenario: a record that waits behind an unanswered append was not sent
    Guards against an unknown outcome for a caller whose record reached no server.

    Given a log that answers appends with "silent"
    When a record with 0.5 s waits behind one with 1.5 s
    Then the waiting record is rejected after 0.5 s and the other one is uncertain

  Scenario: an append to a silent log is repeated as soon as the log answers reads again
    Guards against callers who wait for the timeout of an attempt that was sent during the outage.

    Given a log that answers appends with "silent stored"
    When a record is appended and the log answers reads again after 0.5 s
    Then the record is stored within 0.7 s

  Scenario: a connection that is not established in time carries no request
    Guards against an unknown outcome of a request that reached no server.

    Given a server that accepts no further connections
    When a request with a timeout of 0.3 s is sent to it
    Then the outcome of that request is "NotSent"

  Scenario: a daemon that knows of the outage rejects callers at once
    Guards against callers who wait for the timeout of an append to a log that gives no answer, and
    against a retry delay that does not grow with the outage.

    Given a daemon whose log has given no answer for 4 s
    When callers submit, query, cancel and count jobs
    Then each call is rejected within 0.1 s with a retry delay of 4 s

  Scenario Outline: an append without an answer makes the daemon check the log at once
    Guards against seconds in which callers wait for a silent log until a long poll is overdue, against
    a daemon that gives up a log that only lost one answer, and against one that floods the log.

    Given a daemon that follows a log in a long poll
    When the log <falls> and an append gets no answer
    Then within 1.2 s the log counts as <state> and has got at most 10 reads

    Examples:
      | falls           | state     |
      | falls silent    | down      |
      | rejects reads   | down      |
      | goes on working | answering |

  Scenario: the configuration is read anew as soon as the log answers again
    Guards against VMs that reject all calls with keys for another second after an outage, because
    their read of the configuration waits for an answer of the silent store.

    When a read of the configuration gets no answer and the log answers again
    Then the newest version is applied within 0.25 s
