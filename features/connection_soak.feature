Feature: Connections go silent and the store rejects calls
  Daemons run as separate processes. Open connections to workers and to the store go silent, and the store
  rejects a share of the calls of some daemons, as a seed determines, while queues are added and dropped.
  `tools/run_connection_soak.py` runs further seeds.

  Scenario: cancelled runs end and configurations take effect under a series of faults
    Guards against orders and reads that are sent to one silent connection after the other, and against a
    configuration that is read and dropped.

    When connections go silent and the store rejects calls in 2 rounds of seed 1
    Then cancelled runs end in time and every daemon serves the newest configuration
