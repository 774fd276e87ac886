Feature: Randomized faults against separate daemons
  Daemons run as processes of their own. Signals, a proxy on their way to the store and the store itself
  harm them in a series that a seed decides. `tools/run_soak.py` runs further seeds.

  Scenario Outline: promises hold under a series of faults
    Guards against lost jobs, tasks in two places, tasks that start after they are done, and jobs that are
    denied after they were accepted.

    When daemons run for 8 s under the faults of seed <seed>
    Then no promise to callers was broken

    Examples:
      | seed |
      | 1    |
