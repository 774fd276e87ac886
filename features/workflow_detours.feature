Feature: Calls through other VMs
  A VM that cannot use the log forwards the calls of its callers to a VM that can.

  Scenario: peers of the own failure domain are preferred, and larger ones get more calls
    Guards against calls that cross failure domains without need, and against small VMs that get as
    many calls as large ones.

    Given peers "a1:2000 a2:500 b1:2000" of VM "a0"
    When 400 calls of VM "a0" are forwarded
    Then "a1" got between 280 and 360 of them and "b1" none

  Scenario Outline: a peer that could not take a call is skipped for a while
    Guards against calls that are lost at the same peer again and again, and against peers that are
    never tried again.

    Given peers "a1:1000 b1:1000" of VM "a0"
    When peer "a1" has given the outcome "<outcome>" to a call
    Then VM "a0" forwards to "b1" after 0.1 s and to "a1" after <later_s> s

    Examples:
      | outcome   | later_s |
      | no_store  | 1.6     |
      | busy      | 0.3     |
      | not_sent  | 5.1     |
      | no_answer | 5.1     |

  Scenario: one answer shows that the own failure domain may be cut off from the log
    Guards against three tries at peers of the same domain, all of which the log rejects.

    Given peers "a1:1000 a2:1000 a3:1000 a4:1000 b1:1000" of VM "a0"
    When peer "a1" has given the outcome "no_store" to a call
    Then VM "a0" forwards to "b1" after 0.1 s and to "a1 a2 a3 a4" after 1.6 s

  Scenario: a VM whose peers take no call is not ready until they are tried again
    Guards against callers that are sent to a VM that cannot serve them, and against a VM that gets no
    callers although its peers can serve them again.

    Given peers "a1:1000 b1:1000 b2:1000 b3:1000" of VM "a0"
    Then VM "a0" can forward calls
    When no peer of VM "a0" could take a call
    Then VM "a0" cannot forward calls for 1.9 s and can forward them after 2.1 s
    When no peer of VM "a0" could take a call and then one has answered a call
    Then VM "a0" can forward calls

  Scenario Outline: a VM takes calls of others by its share of processors
    Guards against a small VM that is overloaded by calls that its peers cannot serve.

    Then a VM with <millicores> millicores takes <count> calls of others at the same time

    Examples:
      | millicores | count |
      | 2100       | 16    |
      | 500        | 4     |
      | 100        | 2     |
      | 0          | 8     |

  Scenario Outline: the answer to a submission follows from both outcomes
    Guards against "not run" for a submission that may take effect, and against an unknown outcome for
    one that has certainly not run.

    Given a VM whose own attempt at a submission is <own>
    And peers that <peers>
    When a caller submits a job to this VM
    Then the caller gets <status> and peers got <calls> calls

    Examples:
      | own       | peers                         | status | calls |
      | rejected  | accept                        | 200    | 1     |
      | rejected  | reject                        | 409    | 1     |
      | rejected  | have no store, accept         | 200    | 2     |
      | rejected  | are busy, accept              | 200    | 2     |
      | rejected  | refuse connections, accept    | 200    | 1     |
      | rejected  | have no store, refuse connections, are busy | 503 | 2 |
      | rejected  | die, accept                   | 504    | 1     |
      | uncertain | accept                        | 200    | 1     |
      | uncertain | reject                        | 504    | 1     |
      | uncertain | have no store, have no store  | 504    | 2     |
      | uncertain | die                           | 504    | 1     |
      | accepted  | die                           | 200    | 1     |
      | denied    | accept                        | 401    | 0     |
      | denied later | accept                     | 200    | 1     |
      | denied later | accept slowly              | 200    | 1     |
      | denied later | reject                     | 401    | 1     |

  Scenario Outline: a query is tried at another peer after no answer
    Guards against a query that fails although it can be repeated without harm.

    Given a VM whose own attempt at a query is rejected
    And peers that <peers>
    When a caller queries a job at this VM
    Then the caller gets <status> and peers got <calls> calls

    Examples:
      | peers                | status | calls |
      | die, accept          | 200    | 2     |
      | die, die, die        | 503    | 3     |

  Scenario: no message is sent while the log answers
    Guards against messages to peers that a healthy log does not need.

    Given a VM whose log answers and whose own attempt at a submission is accepted
    And peers that accept
    When a caller submits a job to this VM
    Then the caller gets 200 and peers got 0 calls

  Scenario: a VM takes no more calls of others than its bound
    Guards against a VM whose own callers wait behind those of others.

    Given a VM that takes 3 calls of others at the same time
    When 5 calls of others arrive at once
    Then 3 of them are answered and 2 are told that it is busy

  Scenario: a VM that cannot use the log takes no calls of others
    Guards against calls that wait for the append of a VM that cannot store them either.

    Given a VM that takes 3 calls of others at the same time but cannot use the log
    When 2 calls of others arrive at once
    Then both are told within 0.05 s that it has no store, and none was handled

  Scenario: a call that ends after its remaining time has an unknown outcome
    Guards against an answer that reaches no caller, and a rejection of a submission that is stored.

    Given a VM that takes 3 calls of others at the same time
    When a call arrives with less remaining time than it takes
    Then the peer is told that its outcome is unknown

  Scenario: a VM answers by no version older than one of which a peer has answered its callers
    Guards against a caller that sees a new queue through a peer, and then 404 for it from the VM
    itself, once the log answers again and before the VM has read the version.

    Given a VM that has read version 4
    Then it answers a call of an unknown queue with 404
    When it passes on the answer of a peer that has version 8
    Then it answers a call of an unknown queue with 503
    When it reads version 8
    Then it answers a call of an unknown queue with 404

  Scenario: a peer with an older version takes no forwarded call
    Guards against a VM whose callers see an older version through a peer than through itself.

    Given a VM that has read version 4
    Then a forwarded call that needs version 4 is answered with 200
    And a forwarded call that needs version 8 is answered with 503
