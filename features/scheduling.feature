Feature: Scheduling of one failure domain
  The scheduler must keep its guarantees while answers are lost, workers fail and schedulers replace
  each other.

  Scenario Outline: guarantees hold under random faults
    Fails if a worker gets more work than its capacity, a task runs in two places, a task that is
    not restartable runs again, a gang starts partly, an end is acknowledged before its record, or a
    job is lost.

    When 150 random sequences of faults run under the "<policy>" policy
    Then every job has reached its last state in at least 150 sequences

    Examples:
      | policy     |
      | fair share |
      | baseline   |

  Scenario: tasks of a leaving worker are checkpointed and moved
    Without a checkpoint, the work of the task is lost when the worker is gone.

    When a worker with a running batch task is leaving
    Then the task is checkpointed and starts on another worker

  Scenario: a worker that fails every task is set aside and probed
    Such a worker always has free capacity, so it would fail the tasks of one job after the other.

    When one of two workers fails every task of ten jobs
    Then that worker is set aside, gets one probe at a time, and every job is done

  Scenario: a worker that fails one job many times in a row is set aside nevertheless
    Repeated failures of one job may count as evidence against its workload instead of the worker.
    The worker would then stay in use and fail the next jobs.

    When one of two workers fails every task and jobs of one task arrive 4 s apart
    Then that worker is set aside before the fifth job

  Scenario Outline: work that cannot probe a worker starts on it soon after it is sound again
    Only single restartable tasks are used as probes. If none waits, the worker gets no probe, and
    gangs and tasks that must not be repeated wait for ever.

    Given a worker that has failed restartable tasks for <seconds> s, beside a full one
    When it is sound and <work> arrives
    Then <work> starts within 7 s

    Examples:
      | seconds | work                             |
      | 3       | a gang                           |
      | 30      | a gang                           |
      | 3       | a task that must not be repeated |
      | 30      | a task that must not be repeated |

  Scenario: a worker on trial is set aside again by its first failure
    It may still be faulty, and would fail the tasks of several jobs otherwise.

    Given a worker that has failed restartable tasks for 10 s, beside a full one
    When gangs arrive and it fails the first one after 10 s
    Then it is set aside again

  Scenario: a job that misses its deadline is reported late once
    Fails if a job misses its deadline without a report, or if the report is repeated.

    When a job with a deadline of 2 s waits for a full domain
    Then it is reported late once and its explanation names a result code

  Scenario: urgent work reclaims capacity within 5.9 s
    Without preemption, urgent work waits until batch work ends.

    When an urgent job arrives at a full domain
    Then it starts within 5.9 s

  Scenario: a job is reported when the last worker that fits it is lost
    The job would otherwise wait forever without a report.

    When the only worker that fits a waiting job is lost
    Then the job is reported as infeasible once

  Scenario: cancelled jobs leave the queue at once
    Many cancellations at once must not delay the start of other work.

    When 1000 waiting jobs are cancelled and one more is submitted
    Then the new job starts in the next decision and every cancelled job is finished as cancelled

  Scenario: tasks of jobs that the scheduler has not read yet keep running
    While the log is down, a new scheduler does not know all accepted jobs. It must not stop their
    tasks as unknown.

    When a new scheduler finds a task of an unknown job for 120 s before it reads the end of the log
    Then it stops the task only after it has read the log to its end
