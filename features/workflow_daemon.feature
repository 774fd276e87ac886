Feature: Journal and election of the daemon of workflows
  Every daemon folds one journal, and the scheduler is elected through it.

  Scenario: a record that is told early waits for the records before it
    Guards against a scheduler that starts a job behind the tenure record of its successor.

    Given a daemon that has read the journal up to offset 3
    When it is told of a job with offset 4
    Then it does not know the job
    When the record with offset 3 is a tenure of another daemon and is read
    Then it knows the other tenure and the job

  Scenario: records that were told are not applied again when they are read
    Guards against a job that is added twice.

    Given a daemon that has read the journal up to offset 3
    When it is told of a job with offset 3
    And the record with offset 3 is read
    Then its listener was called once

  Scenario Outline: silence of the scheduler
    Guards against take-overs during an outage of the log, and against long waits after a death.

    Given a daemon that heard the scheduler every <gap> s
    When the scheduler is silent for <silence> s while the log <log>
    Then the daemon <stands>

    Examples:
      | gap  | silence | log            | stands         |
      | 0.25 | 0.8     | can be read    | does not stand |
      | 0.25 | 1.4     | can be read    | stands         |
      | 0.8  | 1.8     | can be read    | does not stand |
      | 0.8  | 2.5     | can be read    | stands         |
      | 0.25 | 5       | cannot be read | does not stand |

  Scenario: the earlier process of the same VM was scheduler
    Guards against waiting for the silence of a process that has ended for certain.

    When a daemon starts on the VM of the scheduler
    Then it stands at once

  Scenario: a candidate whose append is rejected
    Guards against candidates that wait through an outage of the log and then all take over at once.

    Given a log that rejects appends
    When a daemon stands for scheduler
    Then its try ends with the rejection after one append

  Scenario: a journal that cannot be read is not silent
    Guards against candidates during an outage that began after the latest read.

    Given a daemon that has read the journal up to offset 3
    When its reads succeed and then fail
    Then it follows the journal after the first read only

  Scenario Outline: the read before a candidate stands
    Guards against candidates that replace the scheduler with a record that a silent log takes up
    seconds later, and against candidates that have not read of a new scheduler yet.

    Given a daemon that has read the journal up to offset 3
    When it reads at once from a log that <log>
    Then the read <succeeds> and the daemon <knows> of the new scheduler

    Examples:
      | log                                         | succeeds | knows        |
      | does not answer                             | fails    | has not read |
      | holds the tenure of another daemon          | succeeds | has read     |
      | does not answer the read that waits already | succeeds | has read     |

  Scenario: an answer of the log that does not reach its end
    Guards against a job that is denied because the records after a long outage come in parts.

    Given a daemon that has read the journal up to offset 3
    When a read returns records up to offset 5 of a journal that ends at 9
    Then its state is not current
    When the rest is read
    Then its state is current

  Scenario: a resignation frees the office
    Guards against waiting for silence after a graceful shutdown.

    Given a daemon that heard the scheduler every 0.25 s
    When the scheduler resigns
    Then the daemon stands within 0.3 s

  Scenario: many VMs of two sizes lose their scheduler
    Guards against candidates that replace each other, which stopped all starts for 2.7 s, and
    against a small VM as scheduler, which 176 workers overloaded for 30 s.

    Given 12 VMs of 2.1 processors and 18 of half a processor with a tenth of the link
    When their scheduler dies, they notice it within 0.2 s, and a record is read after 0.04 s
    Then the first or second candidate stays scheduler
    And the scheduler is one of the large VMs

  Scenario: the machine of the scheduler was suspended
    Guards against a scheduler that wakes and renews runs which its successor already counts as ended.

    When the boot time goes on by 10 s after an append and the monotonic time does not
    Then the confirmation of the tenure is at least 10 s old

  Scenario: two candidates of one tenure get different epochs
    Guards against two schedulers with one fencing token.

    When 50 daemons stand after the same tenure
    Then all their epochs are higher than that tenure's and no two are equal

  Scenario: a slow append does not make the scheduler count as new writer
    Guards against records that are appended twice after a lost answer.

    Given a log that loses the first answer to each append
    When the scheduler appends 3 groups of records
    Then every record is in the log once and in order

  Scenario: requests for approval
    Guards against long requests that wait for ever behind short ones, and the reverse.

    Given an approval service that needs 400 ms for wide steps and 8 ms for small ones
    When 2 wide and 20 small requests wait
    Then every small request is answered before the last wide one

  Scenario: short and long requests for approval go to different VMs
    Guards against urgent steps that wait behind a request for a wide step.

    Given VMs "a1 a2 a3" in one failure domain and "b1" in another
    Then "a1 b1" take short requests and "a2 a3 b1" take long ones
    When a VM of each failure domain sends a short request and a long one
    Then no VM with others in its domain gets both

  Scenario: a caller whose time is over while its record waits for the log
    Guards against a job that is said not to have been accepted and is stored with its group later.

    Given a log that rejects the first 3 appends and takes the next one
    When a record with 0.1 s and one with 2 s are appended together
    Then the first has an uncertain outcome and the second is stored

  Scenario Outline: the time for an attempt at an append
    Guards against repetitions that make the queue of a slow log longer, and against slow repetitions
    after a lost answer.

    When 10 appends have taken <took> s each and <unanswered> attempts at the next one had no answer
    Then the next attempt lasts <wait> s

    Examples:
      | took | unanswered | wait |
      | 0.03 | 0          | 0.5  |
      | 0.03 | 1          | 1    |
      | 0.9  | 0          | 2    |

  Scenario: a reader of log lines that does not keep up
    Guards against a daemon that waits for whoever reads its log.

    Given a stream for log lines that nobody reads
    When 3000 lines of 1000 characters are logged
    Then no call has blocked and the lines left out are counted
    And after the reader comes back the count is written

  Scenario: a burst of log lines
    Guards against a collector that keeps the first part of a long write only, which lost lines and cut others.

    Given a stream for log lines that nobody reads
    When 200 lines of 250 characters are logged at once
    Then each write holds whole lines and at most 4096 bytes

  Scenario: ends that a worker repeats while the log is slow
    Guards against counts and log lines of ends that grow with the time that the log takes.

    Given a worker with 3 ends and a log that does not answer
    When the scheduler has asked the worker 4 times
    Then 3 ends are counted and logged
    When the worker starts anew and has 2 ends
    Then 5 ends are counted and logged
