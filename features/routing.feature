Feature: Routing of requests
  Guards the promises of design section 13 about interactive requests: no target is overfull, no
  request that may run once runs twice, "not run" is true, and each request has one answer.

  Scenario: promises hold when messages are lost, late, crossed and reordered
    Guards against combined faults of leases, restarts, log outages, polls and repeats.
    When random sequences of 15 kinds of events run against in-memory targets
    Then every sequence kept the promises

  Scenario: a lease that lapses between the decision and the target is refused there
    Guards against a check-then-act across a pause of the entry VM.
    Given a router that holds a target with 2 slots
    When a request is sent, the entry VM pauses beyond its lease and another VM claims the target
    Then the target refuses the stale epoch and the request is answered as not run

  Scenario: a slot stays taken while the target may still work
    Guards against a slot freed on a timeout.
    Given a router that holds a target with 1 slot
    When its running request fails after bytes left and another request arrives
    Then the slot is free only after a status that was asked after the failure

  Scenario: a status that was asked before the failure frees nothing
    Guards against the race of a status with a send.
    Given a router that holds a target with 1 slot
    When a status asked before the send arrives after its failure
    Then the slot is still taken

  Scenario: a status that was asked before the target listed the request frees nothing
    Guards against an overfull target when a renewal overtakes a status (found by the random
    sequences: seed 500176 of 40 to 200 steps).
    Given a router that holds a target with 1 slot
    When a late request is listed by a renewal before a status that was asked earlier arrives
    Then the slot stays taken until a later status no longer lists it

  Scenario: requests of the previous holder keep their slots
    Guards against an overfull target after a change of holder.
    Given a router that claimed a target whose 2 slots still run requests of another holder
    Then it sends nothing until a status no longer lists them

  Scenario: a restarted target has all its slots free
    Guards against slots that stay charged for ever after a restart.
    Given a router that holds a target with 1 slot
    When its running request fails and the target is claimed again after a restart
    Then the next request is sent

  Scenario: a late answer of an earlier boot frees no slot
    Guards against an overfull target when answers to claims and polls arrive out of order
    (found by the random sequences: seed 810 of 40 to 200 steps).
    Given a router that holds a target with 1 slot
    When answers of the boot before arrive while its slot is taken
    Then the slot is still taken after the present boot is confirmed

  Scenario: the holder of a key without targets forwards the request back
    Guards against a request that is dropped as a duplicate at the entry VM that accepted it.
    Given an entry VM with a target and a holder of a key without targets
    When the request with that key arrives at the entry VM with the target
    Then it is executed there once and answered in full

  Scenario: an answer after the deadline frees the slot and is not given to anyone
    Guards against a second answer and against a leaked slot.
    Given a router that holds a target with 1 slot
    When the answer of a running request arrives after its caller was told "outcome unknown"
    Then there is one answer, and the slot is free

  Scenario: a reset after bytes left is not "not run"
    Guards against a second execution of a request that may run once.
    Given a router that holds a target with 2 slots
    And its retry budget holds 2 retries
    When a request with an issued key is reset after bytes left
    Then the caller and a repeat hear "outcome unknown" and nothing is sent again

  Scenario: retries stay within a tenth over two layers when every target fails
    Guards against retries that multiply over forwarding.
    Given two entry VMs of which one holds all targets
    When 1000 idempotent requests arrive at the other and every send fails
    Then the targets got at most 1100 sends

  Scenario: a forwarded request is not retried by the receiver
    Guards against retries that multiply over forwarding when the receiver has a budget of its own.
    Given a router that holds a target with 2 slots
    And its retry budget holds 2 retries
    When a forwarded idempotent request is refused by the target
    Then the peer hears "not run" and nothing is sent again

  Scenario: a request that arrives twice is sent once
    Guards against a transport that repeats a message between entry VMs.
    Given a router that holds a target with 2 slots
    When a forwarded request that may run once arrives again while it runs and after its answer
    And a forwarded idempotent request arrives again while it runs
    Then each was sent once

  Scenario: nothing is sent under a lapsed lease
    Guards against sends that only the epoch at the target would stop.
    Given a router that holds a target with 2 slots
    When a request arrives after the lease has lapsed without notice
    Then nothing is sent, and the request is sent after a renewal

  Scenario: a drain finishes what is queued
    Guards against a drain that forgets queued work.
    Given a router that holds a target with 1 slot
    When three requests wait and the drain starts
    Then a new request is refused as draining, and the three are answered in full

  Scenario: a leaving target gets nothing new
    Guards against work for a VM that leaves.
    Given a router that holds a target with 2 slots
    When the target says that it is leaving and a request arrives
    Then nothing is sent to it, also after the list shows it as live

  Scenario: a crossed answer reaches nobody and frees no slot
    Guards against an answer for another caller.
    Given a router that holds a target with 2 slots
    When the answer of a send names another request
    Then the caller is not given that answer, and the slot waits for a status

  Scenario: contract bounds refuse with their own codes
    Guards against admission beyond the contract.
    When requests exceed the rate, the queue bound and the deadline of their contracts
    Then the codes are "RATE_LIMITED, QUEUE_FULL, WOULD_BE_LATE, DEADLINE_PASSED, UNKNOWN_CUSTOMER"

  Scenario: customers share the slots by weight and none starves
    Guards against a customer favoured beyond its contract.
    Given two customers with weights 3 and 1 and full queues
    When 400 requests are served one after the other
    Then the customers got between 285 and 315, and between 85 and 115

  Scenario: issued keys are recognised
    Guards against forged, foreign and reused keys.
    Given an issuer of keys
    Then its keys, keys of others, forged, expired and malformed ones are told apart
    And a key of another customer is not accepted

  Scenario: a key with other content is a conflict
    Guards against the answer of another request.
    Given a router that holds a target with 2 slots
    When a key is used again with other content
    Then the code is "KEY_CONFLICT"

  Scenario: the memory of keys is bounded and never lets a key run again
    Guards against memory that grows with use, and against a second execution once it is full.
    Given a router that remembers 3 keys and 100 bytes of answers
    When 4 keys are used one after the other for answers of 60 bytes and all are repeated
    Then the fourth is refused, one repeat hears its answer and two hear that it was not kept
    And after the keys have expired new keys are accepted

  Scenario: a key whose request did not run may be used again
    Guards against a key that is lost by a refusal, and against memory that grows with repeats.
    Given a router that remembers 3 keys and 100 bytes of answers
    When a key is used 50 times while no slot is free, and then once more
    Then the last use runs

  Scenario: a claim of an earlier incarnation without outcome is unknown
    Guards against a second execution after the restart of an entry VM.
    Given a router that holds a target with 2 slots
    When the log holds a claim of its earlier incarnation and the key is repeated
    Then the code is "KEY_HOLDER_GONE"

  Scenario: an expired claim is replaced alike by all readers
    Guards against two winners of one key when local clocks decide about its lifetime.
    When two readers fold a claim, a claim within the lifetime and a claim after it
    Then both name the first, the first and the third as the winner

  Scenario: a target that fails is set aside, probed and used again
    Guards against a faulty target that attracts requests, and against one that never returns.
    Given a router that holds 4 targets of which one fails everything
    When 400 idempotent requests run
    Then the faulty target got at most 45 sends, which is 5 failures and a probe each second
    And it is used again when it works

  Scenario: cross-region bytes stay within the contract
    Guards against unbounded paid traffic.
    Given a router without targets and a peer in another region
    When 100 requests of 1000 bytes arrive within a second under a bound of 10000 bytes a second
    Then at most 20000 bytes went to the other region, counted by reason

  Scenario: a peer that is silent gets no forwards
    Guards against requests sent to an entry VM that has died in another domain, and against a
    table of peers that grows with every restart.
    Given a router without targets and a peer in another region
    When a request arrives 6 seconds after the last report of the peer
    Then it is not forwarded

  Scenario: an entry VM without targets is served while the holders are full
    Guards against starvation of callers at an entry VM that holds nothing.
    Given two entry VMs of which one holds all targets and reports no free slot
    When a request arrives at the other
    Then it is forwarded to the holder

  Scenario: a burst of short requests finds slots beside long ones
    Guards against short work that waits behind long work which took every slot.
    Given a router with 20 slots that has learned a short and a long kind
    When 40 long requests arrive and then 2 short ones
    Then 18 long requests and the 2 short ones run

  Scenario: long requests take all slots when no short ones arrive
    Guards against slots kept free for nobody.
    Given a router with 20 slots that has learned a short and a long kind
    When 40 long requests arrive 11 seconds after the last short one
    Then 20 long requests run

  Scenario: a short request is admitted although long ones fill the queue
    Guards against a refusal for the wait of another kind, which the order of the queue avoids.
    Given a router with 20 slots that has learned a short and a long kind
    And its contract allows early refusal
    When long requests with a deadline of 5 seconds come faster than they are served
    Then long requests are refused as late, and short ones are admitted and answered
