Feature: Connections go silent and the store rejects calls
  Daemons run as separate processes. Open connections to workers and to the store go silent, and the store
  rejects a share of the calls of some daemons, as a seed determines, while queues are added and dropped.
  `tools/run_connection_soak.py` runs further seeds.

  Scenario: cancelled runs end and configurations take effect under a series of faults
    Guards against orders and reads that are sent to one silent connection after the other, and against a
    configuration that is read and dropped.

    When connections go silent and the store rejects calls in 2 rounds of seed 1
    Then cancelled runs end in time and every daemon serves the newest configuration

  Scenario: keys are revoked and added under the same faults
    Guards against a revoked key that is accepted beyond the bound, at a daemon that is cut off or suspended, and
    against a valid key that is refused.

    When keys are revoked under these faults and suspensions in 1 round of seed 1
    Then no revoked key is accepted beyond the bound and no valid key is refused
    And cancelled runs end in time and every daemon serves the newest configuration
