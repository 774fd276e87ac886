Feature: Routing of requests
  Checks the guarantees of section 13 of the design for interactive requests: no target gets more
  requests than it has slots, a request that may run once never runs twice, an outcome "not run" is
  true, and each request gets exactly one answer.

  Scenario: guarantees hold when messages are lost, late, misdirected and reordered
    Covers faults of leases, restarts, log outages, status polls and repetitions in combination.
    When random sequences of 15 kinds of events run against in-memory targets
    Then no sequence violates a guarantee

  Scenario: a target refuses a request if the lease lapsed after the routing decision
    The entry VM may pause between its check of the lease and the arrival of the request, while
    another VM becomes holder of the target.
    Given a router that holds a target with 2 slots
    When a request is sent, the entry VM pauses beyond its lease and another VM claims the target
    Then the target refuses the stale epoch and the request is answered as not run

  Scenario: a slot stays occupied while the target may still execute the request
    A timeout does not stop a request at the target. If the slot is released at the timeout, the
    next request exceeds the slots of the target.
    Given a router that holds a target with 1 slot
    When its running request fails after bytes were sent and another request arrives
    Then the slot is released only by a status that was requested after the failure

  Scenario: a status requested before a request was sent does not release its slot
    The status may be delayed and arrive after the request was sent and has failed. It does not list
    the request, which may still run.
    Given a router that holds a target with 1 slot
    When a status that was requested before the send arrives after the failure of the send
    Then the slot is still occupied

  Scenario: a status requested before the target listed a request does not release its slot
    A lease renewal may overtake a status. If the older status, without the request, releases the
    slot, the target gets too many requests (random sequences of 40 to 200 steps, seed 500176).
    Given a router that holds a target with 1 slot
    When a renewal lists a late request before a status that was requested earlier arrives
    Then the slot stays occupied until a later status no longer lists the request

  Scenario: requests of the previous holder keep their slots
    After a change of holder, the requests of the previous one still run. If the new holder ignores
    them, the target gets more requests than it has slots.
    Given a router that claimed a target whose 2 slots still run requests of another holder
    Then it sends nothing until a status no longer lists them

  Scenario: a restarted target has all its slots free
    The requests of the previous boot have ended without an answer. Without a release at the new
    boot, their slots would stay occupied forever.
    Given a router that holds a target with 1 slot
    When its running request fails and the target is claimed again after a restart
    Then the next request is sent

  Scenario: a late answer of an earlier boot releases no slot
    Answers to claims and polls may arrive out of order. One that was sent before a restart says
    nothing about present requests (random sequences of 40 to 200 steps, seed 810).
    Given a router that holds a target with 1 slot
    When answers of the previous boot arrive while its slot is occupied
    Then the slot is still occupied after the present boot is confirmed

  Scenario: a key holder without targets forwards the request back
    The entry VM that accepted the request gets it a second time, from the key holder. If it drops
    it as a duplicate, the request never runs.
    Given an entry VM with a target and a key holder without targets
    When the request with that key arrives at the entry VM with the target
    Then the request is executed there once and answered completely

  Scenario: an answer after the deadline releases the slot and reaches no caller
    The caller has its answer "outcome unknown" by then. A second answer, or a slot that stays
    occupied, would be wrong.
    Given a router that holds a target with 1 slot
    When the answer of a running request arrives after its caller got "outcome unknown"
    Then there is one answer, and the slot is free

  Scenario: a connection reset after bytes were sent is not "not run"
    The target may have executed the request. If the outcome is "not run", the caller repeats it and
    it runs a second time.
    Given a router that holds a target with 2 slots
    And its retry budget holds 2 retries
    When the connection of a request with an issued key is reset after bytes were sent
    Then the caller and a repetition get "outcome unknown" and nothing is sent again

  Scenario: retries add at most a tenth over two layers when every target fails
    If both the sender and the receiver of a forward retry, the numbers of retries multiply.
    Given two entry VMs of which one holds all targets
    When 1000 idempotent requests arrive at the other and every send fails
    Then the targets got at most 1100 sends

  Scenario: a forwarded request is not retried by the receiver
    If the receiver spends its own budget on a forwarded request, retries of both layers multiply.
    Given a router that holds a target with 2 slots
    And its retry budget holds 2 retries
    When a forwarded idempotent request is refused by the target
    Then the peer gets "not run" and nothing is sent again

  Scenario: a request that arrives twice is sent once
    The transport between entry VMs may repeat a message.
    Given a router that holds a target with 2 slots
    When a forwarded request that may run once arrives again while it runs and after its answer
    And a forwarded idempotent request arrives again while it runs
    Then each request was sent once

  Scenario: nothing is sent under a lapsed lease
    The target would refuse the stale epoch, but the router must not rely on that check alone.
    Given a router that holds a target with 2 slots
    When a request arrives after the lease has lapsed without a notification
    Then nothing is sent, and the request is sent after a renewal

  Scenario: draining completes the queued requests
    If draining only waits for requests at targets, the queued ones are lost at the shutdown.
    Given a router that holds a target with 1 slot
    When three requests wait and draining starts
    Then a new request is refused as draining, and the three are answered completely

  Scenario: a leaving target gets no new requests
    The VM list may show the target as live for some time after it has announced that it leaves.
    Given a router that holds a target with 2 slots
    When the target announces that it is leaving and a request arrives
    Then nothing is sent to it, even after the list shows it as live

  Scenario: an answer to another request reaches no caller and releases no slot
    The caller must not get the answer to another request. Its own request may still run, so the
    answer does not show that the slot is free.
    Given a router that holds a target with 2 slots
    When the answer of a send names another request
    Then the caller does not get that answer, and the slot waits for a status

  Scenario: each limit of a contract has its own refusal code
    Fails if a request is admitted beyond the rate, the queue bound or the deadline of its contract.
    When requests exceed the rate, the queue bound and the deadline of their contracts
    Then the codes are "RATE_LIMITED, QUEUE_FULL, WOULD_BE_LATE, DEADLINE_PASSED, UNKNOWN_CUSTOMER"

  Scenario: customers share the slots by weight and none starves
    Fails if the queue serves a customer more than its contract allows at the cost of another one.
    Given two customers with weights 3 and 1 and full queues
    When 400 requests are served one after the other
    Then the customers got between 285 and 315, and between 85 and 115

  Scenario: issued keys are recognized
    An entry VM must tell its own valid keys from forged and expired ones and from those of others.
    Given an issuer of keys
    Then it distinguishes its own keys, keys of other issuers, forged, expired and malformed keys
    And a key of another customer is not accepted

  Scenario: a repeated key with other content is a conflict
    Without a comparison of the content, the caller would get the answer to another request.
    Given a router that holds a target with 2 slots
    When a key is used again with other content
    Then the code is "KEY_CONFLICT"

  Scenario: the memory for keys is bounded and a key never runs again
    Memory must not grow with the number of keys. When it is full, an evicted key could run a second
    time, so only answers are dropped and new keys are refused.
    Given a router that remembers 3 keys and 100 bytes of answers
    When 4 keys are used one after the other for answers of 60 bytes and all are repeated
    Then the fourth is refused, one repetition gets its answer and the answers of two were not kept
    And after the keys have expired new keys are accepted

  Scenario: a key whose request did not run may be used again
    A refusal must neither use up the key nor occupy memory with each repetition.
    Given a router that remembers 3 keys and 100 bytes of answers
    When a key is used 50 times while no slot is free, and then once more
    Then the last request runs

  Scenario: a claim of an earlier incarnation without an outcome is unknown
    After a restart, the entry VM does not know whether the request has run. Sending it again could
    run it a second time.
    Given a router that holds a target with 2 slots
    When the log holds a claim of its earlier incarnation and the key is used again
    Then the code is "KEY_HOLDER_GONE"

  Scenario: all readers replace an expired claim at the same record
    If each reader decides by its local clock whether a claim has expired, two entry VMs may hold
    one key.
    When two readers fold a claim, a claim within the lifetime and a claim after it
    Then both name the first, the first and the third as the winner

  Scenario: a failing target is ejected, probed and used again
    A target that fails at once always has free slots and attracts requests. After its repair, it
    must be used again.
    Given a router that holds 4 targets of which one fails every request
    When 400 idempotent requests run
    Then the faulty target got at most 45 sends, which is 5 failures and a probe each second
    And the target is used again when it works

  Scenario: cross-region traffic stays within the contract
    Traffic between regions is billed. A region without targets must not forward without limit.
    Given a router without targets and a peer in another region
    When 100 requests of 1000 bytes arrive within a second under a limit of 10000 bytes a second
    Then at most 20000 bytes went to the other region, counted by reason

  Scenario: a silent peer gets no forwards
    An entry VM in another domain that died sends no more reports. Without a limit on their age, it
    would still get requests, and the table of peers would grow with every restart.
    Given a router without targets and a peer in another region
    When a request arrives 6 seconds after the last report of the peer
    Then the request is not forwarded

  Scenario: an entry VM without targets is served while the holder is full
    If requests are forwarded only to free slots, callers of an entry VM without targets starve.
    Given two entry VMs of which one holds all targets and reports no free slot
    When a request arrives at the other
    Then the request is forwarded to the holder

  Scenario: a burst of short requests finds free slots beside long requests
    Short requests would have to wait for long ones that occupy every slot.
    Given a router with 20 slots that has learned the run times of a short and a long kind
    When 40 long requests arrive and then 2 short ones
    Then 18 long requests and the 2 short ones run

  Scenario: long requests use all slots if no short ones arrive
    Slots reserved for short requests are wasted while there are none.
    Given a router with 20 slots that has learned the run times of a short and a long kind
    When 40 long requests arrive 11 seconds after the last short one
    Then 20 long requests run

  Scenario: a short request is admitted although the queue is full of long ones
    The queue serves short requests first. An estimate that counts the wait of long requests would
    refuse short ones that can meet their deadline.
    Given a router with 20 slots that has learned the run times of a short and a long kind
    And its contract allows early refusal
    When long requests with a deadline of 5 seconds arrive faster than they are served
    Then long requests are refused as late, and short ones are admitted and answered
