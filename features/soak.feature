Feature: Randomized faults against daemon processes
  Daemons run as separate processes. A seed determines a series of faults: signals to the daemons, faults
  of a proxy between each daemon and the store, and faults of the store. `tools/run_soak.py` runs further
  seeds.

  Scenario Outline: guarantees hold under a series of faults
    Guards against lost jobs, tasks that run in two places at the same time, tasks that start after they
    are done, and accepted jobs that are reported as unknown, failed or cancelled.

    When daemons run for 8 s under the faults of seed <seed>
    Then no guarantee to callers was violated

    Examples:
      | seed |
      | 1    |
