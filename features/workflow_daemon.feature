Feature: Journal and scheduler election of the workflow daemon
  Every daemon reads the same journal, and the scheduler is elected through it.

  Scenario: a record that arrives early waits for the records before it
    A daemon may be notified of a new job before it reads the tenure record of another scheduler
    that precedes the job. As scheduler it would start a job that belongs to its successor.

    Given a daemon that has read the journal up to offset 3
    When it is notified of a job with offset 4
    Then it does not know the job
    When the record with offset 3 is a tenure of another daemon and is read
    Then it knows the other tenure and the job

  Scenario: a record that arrived early is not applied again when it is read
    The record is in the journal too, and applying it twice would add the job twice.

    Given a daemon that has read the journal up to offset 3
    When it is notified of a job with offset 3
    And the record with offset 3 is read
    Then its listener was called once

  Scenario Outline: a daemon stands for election only if the scheduler is silent while the log works
    An outage of the log silences every scheduler, so it must not cause a takeover. After the death
    of the scheduler, the wait must stay short.

    Given a daemon that received records of the scheduler every <gap> s
    When the scheduler is silent for <silence> s while the log <log>
    Then the daemon <stands> for election

    Examples:
      | gap  | silence | log            | stands         |
      | 0.25 | 0.8     | can be read    | does not stand |
      | 0.25 | 1.4     | can be read    | stands         |
      | 0.8  | 1.8     | can be read    | does not stand |
      | 0.8  | 2.5     | can be read    | stands         |
      | 0.25 | 5       | cannot be read | does not stand |

  Scenario: a daemon stands at once if the scheduler was an earlier process of its VM
    That process has certainly ended, so there is no reason to wait for its silence.

    When a daemon starts on the VM of the scheduler
    Then it stands for election at once

  Scenario: a candidate whose append is rejected gives up
    Candidates that retry through an outage of the log would all take over at once when it ends.

    Given a log that rejects appends
    When a daemon stands for election
    Then its candidacy ends with the rejection after one append

  Scenario: a journal that cannot be read does not count as silence of the scheduler
    An outage may begin after the latest successful read. Unless a failed read is noticed, daemons
    stand for election during the outage.

    Given a daemon that has read the journal up to offset 3
    When its reads succeed and then fail
    Then it follows the journal after the first read only

  Scenario Outline: a daemon reads the journal before it stands for election
    Otherwise it may replace a scheduler whose tenure it has not read yet. A log that does not
    answer may execute the append of a candidate seconds later and so replace a healthy scheduler.

    Given a daemon that has read the journal up to offset 3
    When it reads without waiting from a log that <log>
    Then the read <succeeds> and the daemon <knows> the new scheduler

    Examples:
      | log                                | succeeds | knows         |
      | does not answer                    | fails    | does not know |
      | holds the tenure of another daemon | succeeds | knows         |
      | does not answer the pending read   | succeeds | knows         |

  Scenario: the state is current only after the journal was read to its end
    After a long outage, the records arrive in several answers. A daemon that trusts its state after
    the first one denies jobs that it has not read yet.

    Given a daemon that has read the journal up to offset 3
    When a read returns records up to offset 5 of a journal that ends at 9
    Then its state is not current
    When the remaining records are read
    Then its state is current

  Scenario: a resignation triggers an election at once
    After a graceful shutdown, waiting for the silence of the scheduler would only delay starts.

    Given a daemon that received records of the scheduler every 0.25 s
    When the scheduler resigns
    Then the daemon stands for election within 0.3 s

  Scenario: an election among VMs of two sizes is short and a large VM wins
    Candidates that replaced each other stopped all starts for 2.7 s. A small VM as scheduler was
    overloaded by 176 workers for 30 s.

    Given 12 VMs of 2.1 processors and 18 of half a processor with a tenth of the bandwidth
    When their scheduler dies, they notice it within 0.2 s, and a record is read after 0.04 s
    Then the first or second candidate stays scheduler
    And the scheduler is one of the large VMs

  Scenario: a suspension of the scheduler's VM counts as elapsed time
    The monotonic clock stops during suspension. A scheduler that relies on it renews runs after its
    wakeup that its successor already counts as ended.

    When the boot time advances by 10 s after an append and the monotonic time does not
    Then the latest confirmation of the tenure is at least 10 s old

  Scenario: an answer that waited during a pause confirms the tenure only up to its append
    The append may have been stored before the pause, and a successor have begun during it. Counted
    from the end of the pause, the paused scheduler would renew leases that the successor assumes to
    have expired.

    When the process is paused for 5 s while the answer of an append waits
    Then the latest confirmation of the tenure is at least 5 s old

  Scenario: the answer to a repeated append confirms the tenure only up to its first attempt
    The log answers a repetition as it answered the attempt that took effect. A successor may have
    begun in between, and the scheduler would go on beside it for another 6 s.

    When an append gets no answer for 5 s and the log answers its repetition
    Then the latest confirmation of the tenure is at least 5 s old

  Scenario: two candidates for one tenure get different epochs
    The epoch is the fencing token. Workers cannot tell two schedulers with the same one apart.

    When 50 daemons stand for election after the same tenure
    Then all their epochs are higher than that of the tenure and no two are equal

  Scenario: a retried append of the scheduler uses the same writer
    After a lost answer, the log recognizes the repetition only if writer and sequence are the same.
    Under another writer, the records are appended twice.

    Given a log that loses the first answer to each append
    When the scheduler appends 3 groups of records
    Then every record is in the log once and in order

  Scenario: long and short approval requests both make progress
    In a strict order of priority, long requests wait forever behind short ones, or the reverse.

    Given an approval service that needs 400 ms for wide steps and 8 ms for small ones
    When 2 wide and 20 small requests wait
    Then every small request is answered before the last wide one

  Scenario: short and long approval requests go to different VMs
    A request for an urgent step would otherwise wait behind one for a wide step.

    Given VMs "a1 a2 a3" in one failure domain and "b1" in another
    Then "a1 b1" get short requests and "a2 a3 b1" get long ones
    When a VM of each failure domain sends a short request and a long one
    Then no VM that shares its failure domain with others gets both

  Scenario: approval requests that peers refuse do not all wait at one VM
    After a power failure most VMs refuse connections for seconds. If the scheduler sends all of
    their requests itself, one at a time, wide steps wait for half a minute and jobs are lost.

    Given 30 VMs of which only every fifth accepts connections
    When 24 long requests are sent at once and repeated until they are answered
    Then no VM has sent more than 8 of them

  Scenario: an approval request that has waited too long is dropped
    A peer has given up by then, so the request would only delay the ones behind it.

    Given an approval service that needs 400 ms for wide steps and 8 ms for small ones
    When 20 wide requests wait at one VM
    Then all have an outcome within 4 s and the service got at most 9

  Scenario Outline: the timeout of an append follows the observed times
    If it is too short for a slow log, repetitions make the queue of the log longer. If it is too
    long, the repetition after a lost answer is late.

    When 10 appends have taken <took> s each and <unanswered> attempts at the next one had no answer
    Then the timeout of the next attempt is <wait> s

    Examples:
      | took | unanswered | wait |
      | 0.03 | 0          | 0.5  |
      | 0.03 | 1          | 1    |
      | 0.9  | 0          | 2    |

  Scenario: an append is not repeated while reads show that the log is slow
    Replays a VM whose callers submit while the log has become 90 times slower. Its first append takes
    longer than before, and each repetition waits in the queue of the log before those of other VMs.

    Given a log whose reads take 0.4 s and whose appends take 0.9 s
    When a daemon has read the log 4 times and then appends a record
    Then the log has received the record once

  Scenario: a reader of the log output that does not keep up never blocks the daemon
    A write to a full pipe blocks. Lines that do not fit must be dropped and counted instead.

    Given a stream for log lines that nobody reads
    When 3000 lines of 1000 characters are logged
    Then no call has blocked and the dropped lines are counted
    And the count of dropped lines is written once the lines are read

  Scenario: a burst of log lines is written in whole lines of at most 4096 bytes
    A collector that keeps only the first part of a long write loses lines and truncates others.

    Given a stream for log lines that nobody reads
    When 200 lines of 250 characters are logged at once
    Then each write holds whole lines and at most 4096 bytes

  Scenario: ends that a worker repeats are counted and logged once
    While the log is slow, a worker reports the same ends at each poll. Counters and log lines must
    not grow with the delay of the log.

    Given a worker with 3 ends and a log that does not answer
    When the scheduler has polled the worker 4 times
    Then 3 ends are counted and logged
    When the worker restarts and has 2 ends
    Then 5 ends are counted and logged

  Scenario: a worker that has restarted keeps its first ends until they are read
    It counts its ends from 1 again. If each poll repeats the acknowledgement of the earlier process,
    the first ends are forgotten unread, and their tasks are started again.

    Given a worker whose 3 ends are durable and acknowledged
    When it restarts and 2 runs end before the next poll
    Then the scheduler gets the 2 ends

  Scenario Outline: an order that was delayed within the scheduler is not valid for longer
    The scheduler counts the validity from its decision, and gives the run up when it has passed. A
    worker that accepts the order later runs a task that is started elsewhere.

    Given a worker client that knows the clock of a worker
    When <order> that was decided 5 s ago is sent
    Then its deadline is <ahead_s> s ahead of the worker's clock at the decision

    Examples:
      | order                  | ahead_s |
      | a start                | 4       |
      | a poll with a renewal  | 6       |

  Scenario Outline: an answer that arrived while the process was paused is not lost
    After a pause, the timers of the process are due before it has read the answers of the workers.
    If these answers are dropped, every worker counts as silent and its runs are given up.

    Given a server that answers after <delay> s
    When a process sends a request with a timeout of 0.4 s and is paused for <pause> s
    Then the outcome of the request is "<outcome>"

    Examples:
      | delay | pause | outcome  |
      | 0.1   | 0.8   | Answer   |
      | 0.1   | 0     | Answer   |
      | 1.5   | 0.8   | NoAnswer |
      | 1.5   | 0     | NoAnswer |
