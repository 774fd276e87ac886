Feature: Mesh of entry VMs
  A call that fails says whether the peer may have handled it. One bad peer costs the others nothing.

  Background:
    Given two mesh peers "a" and "b"

  Scenario: messages and calls reach the peer
    When "a" sends a message and calls "b" 50 times at once
    Then "b" got the message and every call has its own answer

  Scenario: many calls are in flight to one peer
    Guards against one slow call that blocks the calls behind it.
    When "a" makes a call that takes 0.6 s and 20 short calls to "b"
    Then the short calls were answered before the slow one

  Scenario: delivery continues after a peer was replaced
    Guards against a link that stays dead after a reconnect.
    Given "a" has called "b"
    When "b" is replaced by a new incarnation at the same address
    Then "a" reaches the new incarnation within 3.0 s

  Scenario: a peer that is replaced again and again does not end the process
    Guards against sends through a freed connection, as Push0 of nng 1.11 makes them.
    When "b" is replaced 40 times while "a" sends without pause
    Then "a" reaches "b" again within 3.0 s

  Scenario: a call to an address where nobody listens was not sent
    When "a" calls an address where nobody listens with a budget of 1000 ms
    Then the mesh outcome is "Unreachable" within 0.6 s
    And a second call fails within 0.05 s

  Scenario: a call whose peer dies may have been handled
    When "b" is closed while it handles a call of "a"
    Then the mesh outcome is "NoAnswer" within 1.5 s

  Scenario: a call that is not answered in time may have been handled
    When "a" makes a call that takes 0.6 s with a budget of 200 ms
    Then the mesh outcome is "NoAnswer" within 0.5 s

  Scenario: a handler that fails gives no answer at once
    When "a" makes a call whose handler fails
    Then the mesh outcome is "NoAnswer" within 0.5 s

  Scenario: a draining peer refuses new calls and answers the accepted ones
    When "a" calls "b" for 0.5 s and "b" drains for 2 s meanwhile
    Then the drain was complete and the accepted call was answered
    And a new call of "a" to "b" is refused

  Scenario: a peer that does not read costs no thread and no memory
    Guards against a silent peer that holds senders or fills a queue without bound.
    Given a peer that accepts connections and never reads
    When "a" sends 3000 heartbeats and 300 messages of 200000 bytes to the silent peer
    And "a" starts 200 calls to the silent peer with a budget of 300 ms
    Then each send took less than 0.05 s and no thread was added
    And the queue for the silent peer holds at most 100 messages and its drops are counted
    And all calls to the silent peer have failed
    And "a" reaches "b" within 0.5 s

  Scenario: a peer that is silent on an open connection is connected anew
    Guards against a connection over a healed partition that stays in retransmission.
    Given a peer that accepts connections and never reads
    When "a" sends heartbeats to the silent peer for 6.5 s
    Then the silent peer has seen a second connection

  Scenario: damaged and unknown frames are dropped and counted
    When random frames and frames of a newer version are sent to "a"
    Then "a" has counted them and still answers

  Scenario: any order of losses and sends gives each call one true outcome
    Guards against calls without outcome, with two, or wrongly reported as not sent.
    When random sequences of calls, replacements and pauses are run
    Then each call had one outcome and no call reported as not sent was handled
