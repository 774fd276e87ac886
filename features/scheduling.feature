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

  Scenario: tasks of a leaving worker move by checkpoint
    Guards against work that is lost when a leaving worker goes.

    When a worker with a running batch task is leaving
    Then the task is checkpointed and starts on another worker

  Scenario: a worker that fails every task is set aside and probed
    Guards against one faulty worker that fails the tasks of all jobs one after the other.

    When one of two workers fails every task of ten jobs
    Then that worker is set aside, gets one probe at a time, and every job is done

  Scenario: a worker that fails one job many times in a row is set aside all the same
    Guards against repeated failures of one job that count as evidence against all work of its kind,
    so that the worker goes on failing the next jobs.

    When one of two workers fails every task and jobs of one task come 4 s apart
    Then that worker is set aside before the fifth job

  Scenario: a job that misses its deadline is reported late once
    Guards against silent lateness and against repeated reports.

    When a job with a deadline of 2 s waits for a full domain
    Then it is reported late once and its explanation names a result code

  Scenario: urgent work takes room back within 5.9 s
    Guards against urgent work that waits for batch work to end.

    When an urgent job arrives at a full domain
    Then it starts within 5.9 s

  Scenario: a job is reported when its last fitting worker goes
    Guards against a job that waits for ever without anyone knowing.

    When the only worker that fits a waiting job is lost
    Then the job is reported as infeasible once

  Scenario: cancelled jobs leave the queue at once
    Guards against a wave of cancellations that delays the start of other work.

    When 1000 waiting jobs are cancelled and one more is submitted
    Then the new job starts in the next decision and every cancelled job is finished as cancelled

  Scenario: tasks of jobs that were not read yet keep running
    Guards against a new scheduler that stops accepted work because the log is down.

    When a new scheduler sees a task of an unknown job for 120 s without the end of the log
    Then it stops the task only after the log was read to its end
