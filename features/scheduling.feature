Feature: Scheduling of one failure domain
  The scheduler must keep its promises while answers are lost, workers fail and schedulers change.

  Scenario Outline: promises hold under random faults
    Guards against overfull workers, a task in two places, a second run of a task that must not run
    again, a gang that starts in part, an end acknowledged before its record, and lost jobs.

    When 150 random sequences of faults run under the "<policy>" policy
    Then every job has reached its last state in at least 150 sequences

    Examples:
      | policy     |
      | fair share |
      | baseline   |
