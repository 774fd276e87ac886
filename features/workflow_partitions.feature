Feature: Partitions of the journal and the records that precede the first start
  A partition takes one append at a time. Submissions of many VMs must not wait for each other or
  delay the scheduler, and the next scheduler must know which jobs its predecessor may have started.

  Scenario Outline: submissions of many VMs are stored while the log is slow
    Replays 97 VMs that submit at the same time while an append takes 61 ms in its partition. With
    one partition, most callers get no answer within the time that they wait.

    Given a log with <partitions> partitions whose appends take 61 ms each
    When each of 97 VMs submits a job with a time limit of 2.7 s
    Then <stored> of the submissions are stored in time

    Examples:
      | partitions | stored        |
      | 1          | less than 60  |
      | 17         | at least 97   |

  Scenario: the records of one job are in one partition and those of the scheduler in another
    Guards the order of a submission and its cancellation, and the writer that fences schedulers.

    Given a journal with 17 partitions
    Then submissions and cancellations of 500 jobs are together, in all partitions but the first
    And the records of the scheduler and of the VMs are in the first partition
    And a journal with 1 partition has all records in the first

  Scenario: no run is started before the first progress of its job is durable
    Otherwise the next scheduler takes a job that was started for one that was not.

    Given a job whose first progress is not durable yet
    When 3 s pass
    Then no run of the job has been started
    And its runs start once the progress is durable

  Scenario: a job that was not started is not delayed by workers that do not answer
    After a change of scheduler, jobs that may have runs wait until all workers have answered or
    their leases have expired. If every job waits, urgent ones are late by up to 12 s.

    Given a scheduler with a started job and a worker that has become silent
    When another scheduler takes over with a further job that has no progress
    Then the further job has started within 0.5 s
    And the job with progress waits for the silent worker

  Scenario: a new scheduler knows all progress that was recorded before its tenure
    The pages of the newest records are not a snapshot. They may have its tenure record, but not the
    progress that the earlier scheduler stored in between; such jobs would count as not started.

    Given a log whose history was dropped, and whose pages lack the latest progress
    When a candidate reads up to its own tenure record
    Then it knows the job with this progress

  Scenario: a cancellation that the earlier scheduler did not record is shown by all daemons
    Only the scheduler reads the submissions and cancellations, so it must record the state.

    Given a running job that is cancelled while its scheduler cannot read the journal
    When another scheduler takes over
    Then the main partition shows the job as cancelled

  Scenario: an ended job is not started again after its progress was deleted
    The closing record that replaces the submission is collected for some seconds and lost if the
    scheduler is killed meanwhile. Later the progress of the job is deleted, and a scheduler that finds
    the submission alone takes the job for a new one.

    Given a job that is complete and whose closing record was lost
    When another scheduler takes over
    And its progress is deleted and another scheduler takes over again
    Then no run of the job is started again

  Scenario Outline: a daemon answers a query for a job that the scheduler has not seen
    Without a scheduler, no record of the job reaches the other daemons. A job that was accepted
    must not be denied.

    Given a daemon, a log that <answers>, and a job that another daemon has accepted
    When a caller asks the daemon for the job and for one that does not exist
    Then the answers are <known> and <unknown>

    Examples:
      | answers                           | known    | unknown    |
      | answers                           | queued   | no job     |
      | cannot read the submissions       | rejected | rejected   |

  Scenario: the state of the journal does not grow with the number of jobs that were deleted
    A daemon runs for months and reads the records of every job. If it keeps the offset of each key,
    its memory grows until it is ended.

    Given a journal state in which 2000 jobs were stored and deleted over 1000 s
    Then it keeps the offsets of fewer than 400 keys
    And an older record of the job deleted last changes nothing
