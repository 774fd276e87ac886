Feature: Faults of the stand-in workers
  The worker soak is only as good as the faults that its workers show. These scenarios guard against a
  fault that shows more, or less, to its callers than the users' platform would.

  Background:
    Given a stand-in worker that runs tasks of 0.3 s

  Scenario: a power loss shows nothing until something is sent after the restart
    Given its tasks take 10.0 s
    When a start of run 1 is answered with 200
    And the worker loses power for 0.3 s while a call of 1.5 s waits on an open connection
    Then the waiting call has no answer 2.0 s later
    And a call on the old connection is reset
    And a call on a new connection shows a later life without runs, ends and fences
    And run 1 ended as "gone" at the time of the power loss

  Scenario: a call whose connection could not be opened during an outage reaches the next life late
    When the worker loses power for 0.3 s and a start is sent on a new connection
    Then the start is answered with 200 between 0.9 s and 1.6 s after it was sent
    And run 1 began in life 2

  Scenario: a refusal resets open connections and the runs go on
    When a start of run 1 is answered with 200
    And the worker refuses new connections for 0.5 s and resets open ones
    Then a call on the old connection is reset
    And a call on a new connection is refused
    And run 1 ends as "done"
    And 0.6 s later a call on a new connection shows the same life

  Scenario: a closed listener leaves open connections as they are
    When a start of run 1 is answered with 200
    And the worker refuses new connections for 0.5 s
    Then a call on a new connection is refused
    And a call on the old connection shows the same life

  Scenario: a worker that is cut off answers nothing and its runs go on
    When a start of run 1 is answered with 200
    And the worker is cut off for 0.5 s
    Then a call on the old connection has no answer within 0.3 s
    And run 1 ends as "done"

  Scenario Outline: a cut in two drops the calls between the sides and no others
    When the journal names "<daemon>" as the holder of fencing token 7
    And the network is cut for 0.5 s with "vm-0" and <workers> inside
    Then a call with fencing token <token> <result>
    And 0.5 s later a call with fencing token <token> is answered

    Examples:
      | daemon | workers    | token | result                     |
      | vm-0   | the worker | 7     | is answered                |
      | vm-0   | no worker  | 7     | has no answer within 0.3 s |
      | vm-1   | the worker | 7     | has no answer within 0.3 s |
      | vm-1   | no worker  | 7     | is answered                |
      | vm-0   | the worker | 8     | has no answer within 0.3 s |
      | vm-0   | no worker  | 8     | is answered                |

  Scenario: a run of a worker that is cut off with a daemon goes on
    When the journal names "vm-1" as the holder of fencing token 7
    And a start of run 1 is answered with 200
    And the network is cut for 0.8 s with "vm-0" and the worker inside
    Then a call with fencing token 7 has no answer within 0.3 s
    And run 1 ends as "done"

  Scenario: an answer that is due during a cut is dropped
    When the journal names "vm-0" as the holder of fencing token 7
    And a call with fencing token 7 that waits 0.5 s is sent
    And the network is cut for 0.8 s with "vm-0" and no worker inside
    Then the waiting call has no answer 2.0 s later

  Scenario Outline: a cut in two drops the calls of the smaller side to the store
    When the network is cut for 0.5 s, <kind>, with "vm-0" and no worker inside
    Then a read of part <part> of the journal by "<daemon>" <result>
    And 0.5 s later a read of part <part> of the journal by "<daemon>" is answered

    Examples:
      | kind                     | daemon | part | result                     |
      | at once                  | vm-0   | 0    | has no answer within 0.3 s |
      | at once                  | vm-0   | 1    | has no answer within 0.3 s |
      | at once                  | vm-1   | 0    | is answered                |
      | only part 0 of the store | vm-0   | 0    | has no answer within 0.3 s |
      | only part 0 of the store | vm-0   | 1    | is answered                |
      | only part 0 of the store | vm-1   | 0    | is answered                |

  Scenario Outline: a cut in two steps drops first the one, then the other
    When the journal names "vm-0" as the holder of fencing token 7
    And the network is cut for 2.0 s, <kind>, with "vm-0" and no worker inside
    Then a call with fencing token 7 <call>
    And a read of part 0 of the journal by "vm-0" <read>
    And 0.7 s later a call with fencing token 7 has no answer within 0.2 s
    And a read of part 0 of the journal by "vm-0" has no answer within 0.2 s

    Examples:
      | kind          | call                       | read                       |
      | workers first | has no answer within 0.2 s | is answered                |
      | store first   | is answered                | has no answer within 0.2 s |

  Scenario: a late order is executed after its caller has given up
    When the worker delays all orders and a start of run 1 is sent
    Then the start has no answer and run 1 begins 2 to 12 s later

  Scenario: a late order is dropped if the worker has restarted meanwhile
    When the worker delays all orders and a start of run 1 is sent
    And the worker loses power for 0.1 s
    Then run 1 has not begun 13 s later

  Scenario: acknowledged ends are forgotten, also those that come later in the same life
    When ends up to 1 are acknowledged before any has occurred
    And runs 1 of two tasks have ended
    Then the worker lists the end with number 2 only

  Scenario: where only listed ends are forgotten, an early number forgets an end once it comes again
    Given the worker forgets only ends that are listed
    When ends up to 1 are acknowledged before any has occurred
    And runs 1 of two tasks have ended
    Then the worker lists the ends with numbers 1 and 2
    And after ends up to 1 are acknowledged again the worker lists the end with number 2 only

  Scenario Outline: a start is answered as the state of the task demands
    When a start of run 2 is answered with 200
    And <event>
    Then a start of run <run> is answered with <answer>

    Examples:
      | event               | run | answer     |
      | nothing else occurs | 2   | 200        |
      | the run has ended   | 2   | 409 old    |
      | the run has ended   | 1   | 409 old    |
      | the run has ended   | 3   | 200        |
      | run 4 is stopped    | 4   | 409 old    |
      | run 4 is stopped    | 5   | 200        |
      | a higher fence came | 3   | 409 fence  |
      | its deadline has passed | 3   | 409 late   |

  Scenario: a lease ends at its deadline
    When a start of run 1 with a lease of 0.2 s is answered with 200
    Then run 1 ends as "lapsed"

  Scenario Outline: a lease is renewed by a <call>
    When a start of run 1 with a lease of 0.2 s is answered with 200
    And the lease is renewed by a <call>
    Then run 1 ends as "done"

    Examples:
      | call                  |
      | hold                  |
      | start of another task |
      | start that is too old |

  Scenario Outline: an odd entry is corrected by the next heartbeat
    When another writer shows an odd entry of the kind "<kind>"
    Then the directory shows an entry with <fault>, and the right one 1.6 s later

    Examples:
      | kind        | fault                |
      | no born     | no `born`            |
      | wrong types | `born` as a string   |
      | broken      | unreadable bytes     |
