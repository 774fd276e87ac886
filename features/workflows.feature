Feature: Scheduling of jobs with steps
  The scheduler must keep its promises while orders are lost or late and schedulers change.

  Scenario: promises hold under random faults
    Guards against overfull workers, a task in two places, a start before earlier steps are done, a
    start after a recorded end, and jobs that never end.

    When 120 random histories of jobs with steps run
    Then no promise of a job with steps was broken
    And every job with steps has ended

  Scenario: an end that a worker repeats is counted once
    Guards against a job that fails before its last attempt because the log was slow.

    Given a job with one task that may fail 3 times
    When its first run fails and the worker lists that end 5 times
    Then 1 failed run is counted
    And the next scheduler counts 1 failed run after the worker lists the end again

  Scenario: a run of a cancelled job keeps its room at the next scheduler
    Guards against a start over the capacity of a worker after a take-over.

    Given a worker that is full with a run of a job
    When the job is cancelled while its scheduler cannot read the journal
    And another scheduler takes over with a job that waits
    Then the waiting job starts only after the first run has ended

  Scenario: requests for approval are not repeated while they wait
    Guards against a queue of requests that grows faster than the service answers.

    Given a job whose queue needs approval and a service that does not answer
    When 10 s pass
    Then the service was asked once

  Scenario: workers that come back are asked about
    Guards against a step that waits for ever because few workers were known when it asked.

    Given a job whose queue needs approval and one worker that is not listed yet
    When the service refuses the other workers and the worker comes back
    Then the service is asked about that worker and the job completes

  Scenario: a task whose start has no answer is not started elsewhere too early
    Guards against two runs of a task when an order is carried out late.

    Given a task whose start order gets no answer
    When the order is carried out 3 s later
    Then the task has run in one place only

  Scenario: a repeated start is refused while the first one has no answer
    Guards against two runs of a task when the first order is carried out late after all.

    Given a task whose start order gets no answer
    When a repeated order is refused and the first one is carried out 3 s later
    Then the task has run in one place only

  Scenario: a task whose start has no answer waits for a stop only
    Guards against urgent tasks that wait for the validity of a lost order.

    Given a task whose start order gets no answer
    When the worker takes up orders to stop and loses those to start
    Then the task is complete within 3.5 s

  Scenario: a gang starts whole or not at all
    Guards against members that wait in vain and waste their room.

    Given a gang of 6 tasks and room for 4
    When 3 s pass
    Then no task of the gang has started

  Scenario: the journal keeps the newest record of a key
    Guards against an older state that replaces a newer one when pages of records overlap.

    When progress with offset 7 is read before progress with offset 5
    Then the state is that of offset 7

  Scenario: what callers submitted is dropped once a job has ended
    Guards against daemons that start and cannot read the journal in time because it keeps every job.

    Given 20 jobs with a payload of 4000 bytes
    When all of them have ended
    Then the newest records of the journal have less than 300 bytes for each job
    And a daemon that reads them shows every job as complete
    And an append of a job that was held up until now changes nothing

  Scenario: a cancelled job stays cancelled
    Guards against a state that changes after it was shown as final.

    When a job is cancelled before its last end is recorded
    Then callers see it as cancelled

  Scenario Outline: a step asks about as many workers as it needs
    Guards against requests that name every worker, so that the service is busy all the time and
    urgent steps wait behind wide ones.

    Given 100 workers of which a queue allows <allowed> in 100
    When a step of <tasks> tasks arrives
    Then it has started after at most <requests> requests that name <named> workers at most

    Examples:
      | allowed | tasks | requests | named |
      | 70      | 2     | 1        | 16    |
      | 30      | 40    | 2        | 90    |

  Scenario Outline: a gang among single tasks
    Guards against wide gangs that never find all of their room free, because single tasks take each
    piece of it.

    Given 8 workers that are full of single tasks, and more of them wait
    When a gang of 12 tasks arrives and <room> is kept for it
    Then the gang has <started> within 4 s

    Examples:
      | room    | started     |
      | no room | not started |
      | room    | started     |

  Scenario: tickets that come before their job
    Guards against urgent jobs that wait for a second request because the first answer was dropped.

    Given tickets for a job that the scheduler has not read yet
    When the job is read
    Then its task starts without a further request

  Scenario: a worker that fails everything at once
    Guards against a faulty worker that looks free and fails the tasks of all jobs.

    Given 3 workers of which one fails every run at once
    When 30 jobs with single tasks arrive within 6 s
    Then every job is complete
    And the faulty worker got at most 12 runs

  Scenario: a worker on which nothing moves
    Guards against tasks that stay for ever on a worker that answers and does no work.

    Given 2 workers of which one makes no progress
    When 6 jobs with single tasks arrive within 3 s
    Then every job is complete
