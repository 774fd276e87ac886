Feature: Start orders after a change of scheduler
  Right after a change of scheduler, many tasks can be started at once, and the new scheduler must
  neither wait for workers that have left nor order more starts than its VM can send.

  Scenario Outline: the wait for silent workers follows the lease of the deployment
    Guards against a lease that outlasts the wait: the next scheduler would start the tasks of such a worker while
    they are at work.

    Given a deployment with leases of <lease_s> s
    Then a renewal 0.9 s after the latest confirmation gives a lease of <lease_s> s
    And a renewal 2 s after the latest confirmation gives a lease of <later_s> s
    And a renewal 6 s after the latest confirmation gives a lease of 0 s
    And no lease outlasts the time for which a new scheduler waits for a silent worker

    Examples:
      | lease_s | later_s |
      | 6       | 5       |
      | 10      | 9       |

  Scenario: a worker that has left is not recorded as in use for good
    The next scheduler waits seconds for every recorded worker before it starts some inherited jobs.

    Given a scheduler with 3 workers
    When one of them leaves the directory and its leases have expired
    Then the other 2 are to be recorded as in use
    And all 3 are while the runs of an earlier scheduler are not reconciled

  Scenario: a worker that has left and refuses connections is recorded until its leases have expired
    It may refuse them while its runs go on. If it is no longer recorded, the next scheduler starts
    their tasks elsewhere.

    Given a scheduler with 3 workers
    When one of them leaves the directory and has refused connections for 6 s
    Then all 3 are still to be recorded as in use

  Scenario: the departure of a worker is recorded without a further change of the directory
    Replays workers that have left 4 s before the scheduler is killed. All jobs in flight would wait
    seconds for them.

    When one of two workers leaves, then answers no more, and the scheduler ends 4 s later without a further change of the directory
    Then the next one starts an inherited job within 10.5 s of the departure

  Scenario: jobs in flight do not wait for workers that left long before a change of scheduler
    A worker whose address no longer answers may be cut off and still at work, so its leases have to
    expire. Their end is known from the time of the departure, not of the change of scheduler.

    Given a scheduler of two workers, one of which leaves the directory and answers no more
    When the scheduler is ended 4 s later
    Then the next one starts an inherited job within 10.5 s of the departure

  Scenario: a worker that returns is no longer recorded as departed before it gets orders
    The next scheduler would count from the departure, and start tasks again that are still at work.

    Given a scheduler of two workers, one of which leaves the directory and answers no more
    When the worker is back in the directory 4 s later
    Then no departure is recorded when it is asked again

  Scenario: the time of a departure counts only as long as the worker has not returned
    A reader may miss the record between two departures of a worker.

    When the departure of a worker is read at 10 s, and another departure of it at 20 s
    Then its runs count as ended no earlier than a lease after 20 s

  Scenario: start orders that wait for answers are limited
    Replays a change of scheduler with 400 tasks that can be started at once while no order is
    answered. All orders would wait for the processor of the scheduler's VM.

    Given 400 waiting tasks and workers that do not answer start orders
    When the scheduler decides for 0.5 s
    Then it has ordered between 100 and 140 starts

  Scenario Outline: the limit of open start orders follows the answer times
    When <count> start orders are answered after <answer_s> s
    Then the limit of open start orders <changes>

    Examples:
      | count | answer_s | changes      |
      | 500   | 0.03     | has risen    |
      | 20    | 1.0      | has fallen   |

  Scenario: a step whose only ticket was rejected gets a new one
    A worker rejects an order that arrives after the ticket has expired. If the worker counts as asked
    for good but has no ticket, nobody asks about it again, and the step never starts.

    Given a step that only one of 3 workers may run, with tickets that are valid for 2 s
    When that worker rejects the first ticket
    Then the job is complete within 3 s and 1 ticket was rejected

  Scenario: an order is not repeated with a ticket that has expired
    The worker would certainly reject it.

    Given a step that only one of 3 workers may run, with tickets that are valid for 0.5 s
    When that worker answers no order for 0.55 s and then all
    Then the job is complete within 6 s and 0 tickets were rejected

  Scenario: a run whose start was not answered goes on although its ticket has expired
    The answer may be lost or late while the run has started. Stopping it would waste its work, and
    that of the whole gang.

    Given a step that only one of 3 workers may run, with tickets that are valid for 0.5 s
    When that worker starts the run but its answers and reports are lost for 0.8 s
    Then the job is complete within 3 s and its run was not stopped

  Scenario: a request for approval of a job that has just ended leaves room for others
    The number of long requests in flight is limited. One that is never counted as answered blocks a
    place for the rest of the tenure.

    Given a scheduler whose only long request for approval is ordered as its job ends
    When the order is executed
    Then another step may send a long request

  Scenario: a start order is not repeated while its answer may still come
    Repetitions of orders that wait in the queue of a slow VM make the queue longer.

    Given a start order whose answer takes 2 s
    When the scheduler decides until then
    Then the order was sent once
