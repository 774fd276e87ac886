Feature: Size of the records and of the state of a job
  The store limits the size of a record. A progress record that grows with each occurrence of a job
  is rejected at some time, together with the renewals of the tenure and all other jobs. All times
  are virtual.

  Scenario: a job with thousands of occurrences keeps and records only what is open
    Guards against steps, failures and records that grow with each occurrence that is done.

    Given a job of 10000 occurrences of 2 steps that are due at once, some of whose runs fail
    When it runs to its end under two schedulers, one after the other
    Then it is complete, and no recorded occurrence was started again
    And no progress record was larger than 16384 bytes
    And no scheduler held more than 1400 steps of it, nor any of a done occurrence

  Scenario: a progress record of an earlier version is continued
    It has a row for each step of each occurrence that is done, and no watermark.

    Given a record of an earlier version in which 50 of 60 occurrences are done, and one in part
    When a scheduler inherits the job
    Then it starts the remaining 19 tasks once each, and the job is complete
    And the progress record is smaller after the first end

  Scenario Outline: occurrences that are done in any order are kept as few ranges
    Guards against a record that grows while an early occurrence stays open.

    Given 1000 occurrences that are done in <order> order, but for number 3
    Then the set has 999 numbers, all below 3 and one further range
    When number 3 is done as well
    Then all 1000 are done without a further range

    Examples:
      | order     |
      | ascending |
      | random    |

  Scenario Outline: progress that is too large for the log blocks neither the tenure nor other jobs
    The log rejects an append as a whole, so that repeating it would end all scheduling.

    Given a log whose largest record is <stored> bytes, and a scheduler that assumes <assumed> bytes
    When it appends its tenure with the progress of three jobs, of which one is of 3000 bytes
    Then the log has the tenure and the two others, in order
    And the large one is reported as left out

    Examples:
      | stored | assumed |
      | 1000   | 1000    |
      | 1000   | 262144  |

  Scenario: records that exceed one append together are appended in parts
    Guards against a group that the log rejects for its size, however small its records are.

    Given a log whose largest append is 4000 bytes, and a scheduler that knows it
    When it appends 50 records of 200 bytes
    Then the log has all of them in order

  Scenario: a submission that the log rejects for its size does not refuse those beside it
    Guards callers whose records are appended in one group with a record that is too large.

    Given a log whose largest record is 1000 bytes, and an appender that assumes 262144 bytes
    When records of 100, 3000 and 100 bytes are appended together
    Then only the second is refused, and for good

  Scenario: the scheduler names, counts and blocks the job whose progress is too large
    Without the job id and the sizes in the log, an operator sees only that a job does not end.

    Given a log whose largest record is 1000 bytes, and a scheduler that assumes 262144 bytes
    When an active scheduler stores the progress of job "a" of 3000 bytes beside that of job "b"
    Then the log has the progress of "b", and the tenure is renewed
    And a log line names job "a", the size of its record and the limit
    And the metric for such records is 1, and only "a" is blocked

  Scenario: a job whose progress is too large starts no further runs until it is stored
    Guards the other jobs, and the job itself once its progress has become smaller.

    Given a job with tasks that run and tasks that wait, and another job
    When its progress is too large for the journal
    Then it starts no further runs, and the other job is complete
    When a later progress is stored after 5 s
    Then the job is complete

  Scenario Outline: a job that could never be stored or held is rejected with field, value and limit
    Guards against a job that occupies each scheduler in turn and never ends.

    Given a service with records of 20000 bytes and appends of 100000 bytes
    When a job with <job> is submitted
    Then the answer is 400 with the field "<field>", its value and a limit below it
    And no record was appended

    Examples:
      | job                                                       | field                            |
      | a text of 20000 characters                                | job, bytes                       |
      | 20 steps of 10000 tasks                                   | steps x count, bytes of the progress |
      | 1 steps of 1000 tasks                                     | steps x count, bytes held        |
      | 1 steps of 100 long-running tasks, 100 times              | steps x count x times, bytes held |

  Scenario: a job at the limit is accepted and completes
    The limits must not reject a job that can be stored and run, also if a fifth of its runs fail.

    Given the largest job of one step, 5 times at once, that records of 20000 bytes and appends of 100000 bytes allow
    When a scheduler with these limits runs it
    Then it is complete, and no progress record was larger than 20000 bytes
