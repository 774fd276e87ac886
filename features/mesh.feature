Feature: Mesh of entry VMs
  A failed call reports whether the peer may have handled it. A faulty peer does not affect the others.

  Background:
    Given two mesh peers "a" and "b"

  Scenario: messages and calls reach the peer
    When "a" sends a message and calls "b" 50 times concurrently
    Then "b" received the message and every call received its own answer

  Scenario: a slow call does not block short calls to the same peer
    Guards against head-of-line blocking: one slow call delays the calls that were sent after it.
    When "a" makes a call that takes 0.6 s and 20 short calls to "b"
    Then the short calls were answered before the slow one

  Scenario: a peer is reachable after it was replaced
    Guards against a connection that delivers nothing after a reconnect.
    Given "a" has called "b"
    When "b" is replaced by a new incarnation at the same address
    Then "a" reaches the new incarnation within 3.0 s

  Scenario: repeated replacement of a peer does not crash the process
    Guards against a use after free: Push0 of nng 1.11 sends through a connection that was freed.
    When "b" is replaced 40 times while "a" sends continuously
    Then "a" reaches "b" again within 3.0 s

  Scenario: a call to an address without a listener is reported as not sent
    When "a" calls an address without a listener with a budget of 1000 ms
    Then the mesh outcome is "Unreachable" within 0.6 s
    And a second call fails within 0.05 s

  Scenario: a call whose peer closes is reported as possibly handled
    When "b" is closed while it handles a call of "a"
    Then the mesh outcome is "NoAnswer" within 1.5 s

  Scenario: a call that times out is reported as possibly handled
    When "a" makes a call that takes 0.6 s with a budget of 200 ms
    Then the mesh outcome is "NoAnswer" within 0.5 s

  Scenario: a call whose handler fails ends without waiting for its budget
    When "a" makes a call whose handler fails
    Then the mesh outcome is "NoAnswer" within 0.5 s

  Scenario: a draining peer refuses new calls and answers the accepted ones
    When "a" makes a call that takes 0.5 s and "b" drains for up to 2 s meanwhile
    Then the drain was complete and the accepted call was answered
    And a new call of "a" to "b" is refused

  @known_red
  Scenario: a peer that does not read blocks no thread and its queue is bounded
    Guards against a silent peer that blocks senders or for which a queue grows without bound.
    Given a peer that accepts connections and never reads
    When "a" sends 3000 heartbeats and 300 messages of 200000 bytes to the silent peer
    And "a" starts 200 calls to the silent peer with a budget of 300 ms
    Then each send took less than 0.05 s and no thread was added
    And the queue for the silent peer holds at most 100 messages and drops are counted
    And all calls to the silent peer have failed
    And "a" reaches "b" within 0.5 s

  Scenario: the connection to a silent peer is replaced
    Guards against a connection that stays in TCP retransmission after a network partition has healed.
    Given a peer that accepts connections and never reads
    When "a" sends heartbeats to the silent peer for 6.5 s
    Then the silent peer has seen a second connection

  Scenario: a connection that goes silent is replaced although the peer still sends
    Guards against a connection that is never replaced, because the frames that the peer sends on its
    own connection count as reactions.
    Given a peer "c" behind a proxy that sends heartbeats to "a" every 0.2 s
    When "a" has called "c" and the connections of the proxy go silent
    Then "a" sends heartbeats and reaches "c" again within 7.0 s

  Scenario: damaged and unknown frames are dropped and counted
    When random frames and frames of a newer version are sent to "a"
    Then "a" has counted them and still answers

  Scenario: each call has one correct outcome in any order of calls and replacements
    Guards against calls without an outcome, with two outcomes, or wrongly reported as not sent.
    When random sequences of calls, replacements and pauses are run
    Then each call had one outcome and no call reported as not sent was handled
