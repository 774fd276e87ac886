Feature: Log writer, reader and folds
  Records are neither lost nor doubled when answers are lost, the log is down or truncated.

  Scenario: generated answers of the log, guarding against lost and doubled records
    When 300 generated histories of appends meet lost answers, delayed copies and truncation
    Then every ticket became durable and every reader saw each record once

  Scenario: an outage of an hour, guarding against an unbounded backlog and a burst afterwards
    When 20 records a second are submitted for two hours and the log is down in the first
    Then the backlog stayed within its limit and later records were refused as not run
    And at most one append was made per interval and all accepted records are durable once

  Scenario: several streams of one process, guarding against more appends than the log accepts
    When 4 writers of one process share a pace of 0.25 seconds for 60 seconds
    Then they make at most 4 appends a second together and all streams get turns

  Scenario: an append that a truncation overtook, guarding against the conclusion "not appended"
    When an append takes effect, its answer is lost and its record is truncated before the read-back
    Then the writer repeats the same sequence with the same records

  Scenario: a withdrawn record, guarding against a refusal of work that is recorded later
    When a record is withdrawn before and another one after its append was sent
    Then only the first withdrawal succeeds and its record is never appended

  Scenario: unknown and damaged records are counted and skipped
    When a reader meets an unknown record, a damaged record and a valid one
    Then it returns the valid record and counts the other two

  Scenario: a repeat after 20000 other records, guarding against a short memory of repeats
    When the first append of a writer is repeated after 20000 records of another writer
    Then the reader drops the repeat

  Scenario: readers that start late, guarding against lost and revived jobs
    When jobs run for six retention times in 40 generated histories
    Then a reader that starts at any time knows the same live jobs as one that read everything

  Scenario: facts before the specification, guarding against a cancellation that is forgotten
    When a late reader meets a cancellation and a lateness before the refreshed job
    Then the job is cancelled and late

  Scenario: outcomes are forgotten with their records, guarding against memory that only grows
    When 10 jobs finish and the log deletes the records of the first 6
    Then 5 outcomes are kept, one of them because it was recorded again

  Scenario: a conflicting submission of a job is known as a conflict
    When a job is accepted twice with equal digests and once with another
    Then the folds tell one accepted job, one repeat and one conflict

  Scenario: jobs of a lost domain, guarding against two domains that run the same job
    When domain "caribe" is declared lost and two domains take over its job
    Then only the first one has the job and a refresh by "caribe" changes nothing

  Scenario: a domain stream is compacted and keeps attempt numbers rising
    When a task has an intent, a failed end, a repeated intent and a successful end
    Then its facts are right and nothing is left after its job was forgotten
