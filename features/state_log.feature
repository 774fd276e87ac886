Feature: Log writer, reader and folds
  No record is lost or applied twice when answers are lost or the log is down or truncated.

  Scenario: records are neither lost nor duplicated under random answers of the log
    When 300 generated histories of appends meet lost answers, delayed copies and truncation
    Then every ticket becomes durable and every reader gets each record once

  Scenario: an outage of an hour neither fills the memory nor ends in a burst
    Fails if the backlog of the writer grows without limit during the outage, or if the writer
    appends too often after it.
    When 20 records a second are submitted for two hours and the log is down in the first
    Then the backlog stays within its limit and later records are refused as not run
    And at most one append was made per interval and all accepted records are durable once

  Scenario: several streams of one process share a rate limit
    The appends of all streams together must not exceed the rate that the log accepts.
    When 4 writers of one process share a minimum append interval of 0.25 seconds for 60 seconds
    Then they make at most 4 appends a second together and all streams get turns

  Scenario: an append that was truncated before the read-back is repeated unchanged
    The writer does not find the record in the log and must not conclude that it was not appended. A
    repetition under a new sequence would add it twice.
    When an append takes effect, its answer is lost and its record is truncated before the read-back
    Then the writer repeats the same sequence with the same records

  Scenario: a record cannot be withdrawn once its append was sent
    If the withdrawal succeeded, work would be refused although it is recorded later.
    When a record is withdrawn before and another one after its append was sent
    Then only the first withdrawal succeeds and its record is never appended

  Scenario: unknown and damaged records are counted and skipped
    When a reader gets an unknown record, a damaged record and a valid one
    Then it returns the valid record and counts the other two

  Scenario: a repetition after 20000 other records is dropped
    Fails if the reader remembers only a limited number of records to detect repetitions.
    When the first append of a writer is repeated after 20000 records of another writer
    Then the reader drops the repetition

  Scenario: a reader that starts late neither loses nor revives jobs
    The log deletes records by age. Live jobs must be recorded again in time, and finished jobs must
    not become live again.
    When jobs run for six retention times in 40 generated histories
    Then a reader that starts at any time knows the same live jobs as one that has read all records

  Scenario: facts that are read before the specification of their job are kept
    A late reader gets a cancellation before the refreshed record of the job. If it ignores the
    cancellation, the job runs on.
    When a late reader gets a cancellation and a late mark before the refreshed job
    Then the job is cancelled and late

  Scenario: outcomes are forgotten when the log deletes their records
    Memory would otherwise grow with the number of finished jobs.
    When 10 jobs finish and the log deletes the records of the first 6
    Then 5 outcomes are kept, one of them because it was recorded again

  Scenario: a conflicting submission of a job is detected
    When a job is accepted twice with equal digests and once with another
    Then the fold reports one accepted job, one repetition and one conflict

  Scenario: of two domains that take over a job of a lost domain, only one gets it
    If both kept the job, it would run twice.
    When domain "caribe" is declared lost and two domains take over its job
    Then only the first one has the job and a refresh by "caribe" changes nothing

  Scenario: the domain stream is compacted and attempt numbers keep increasing
    When a task has an intent, a failed end, a repeated intent and a successful end
    Then its state is correct and nothing is left after its job was forgotten
