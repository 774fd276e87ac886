Feature: VMs that the store turns away
  Daemon processes whose access to the store fails for some of them or for all.

  Scenario Outline: a VM that the store turns away serves its callers through another one
    Guards against callers who are rejected, or told that the outcome is unknown, although most VMs can
    use the store; against a VM that is not ready although it serves; and against one that goes on
    forwarding or rejecting when the store is back.

    Given 3 daemons with their own access to the store
    When a VM that is not the scheduler gets "<mode>" from the store for 4 s while jobs are submitted to it
    Then every submission was accepted within 2.5 s and the VM stayed ready
    And queries, counts and cancellations at the VM were answered within 1 s
    And the VM logged each forwarded call with job id, peer, result and duration
    And the metrics count these calls at the VM and at its peers, and the length of the outage
    And from 1 s after the outage the VM serves its callers by itself
    And every accepted job ran exactly once

    Examples:
      | mode    |
      | 503     |
      | 429     |
      | reset   |
      | silence |

  Scenario: no call is forwarded while the store is healthy
    Guards against messages that a healthy store does not need.

    Given 3 daemons with their own access to the store
    When 10 jobs are submitted to each VM
    Then no VM has forwarded a call

  Scenario Outline: the entire store is unavailable
    Guards against callers who wait although nobody can serve them, against calls that are forwarded
    in circles, and against VMs that reject callers after the outage.

    Given 3 daemons with their own access to the store
    When all VMs get "<mode>" from the store for 5 s while jobs are submitted to them
    Then from <known_s> s on each submission is rejected within 0.8 s, and the last retry delays are 3 to 4 s
    And no call was forwarded more than 3 times
    And from 1 s after the outage every VM accepts jobs

    Examples:
      | mode    | known_s |
      | 503     | 0       |
      | reset   | 1.6     |
      | silence | 2.2     |

  Scenario: VMs that can only read the store forward calls to each other
    Guards against calls that are forwarded in circles: each of these VMs takes calls of the others,
    until its append is rejected.

    Given 3 daemons with their own access to the store
    When all VMs get "503 for appends" from the store for 3 s while jobs are submitted to them
    Then from 0 s on each submission is rejected within 1.5 s, and the last retry delays are 1 to 1 s
    And no call was forwarded more than 3 times
    And from 1 s after the outage every VM accepts jobs

  Scenario Outline: the peer dies while it stores a job for another VM
    Guards against "not run" for a job that may be stored, and against a job that runs twice when its
    caller repeats the call.

    Given 2 daemons with their own access to the store
    When the first VM gets "503" from the store and the second one gets "<mode>"
    And a caller submits a job to the first VM and the second one is killed
    Then the caller is told that the outcome of the job is unknown
    And after the outage the repeated submission is accepted and the job runs exactly once

    Examples:
      | mode                    |
      | appends lost            |
      | answers of appends lost |
