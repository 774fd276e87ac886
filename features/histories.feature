Feature: Histories of a failure domain on a virtual clock
  Runs of processes are few and cannot be repeated. Seeded histories of the same components under kills,
  pauses, lost answers and other faults show broken promises that need a rare order of events.

  Scenario: a fixed set of histories keeps every promise
    When 40 quick histories of seed 11 are run
    Then the histories command reports no violation

  Scenario Outline: a planted fault is caught
    This guards against a driver or a check that would pass whatever the components do.
    When 12 quick histories of seed 5 are run with "<planted>" and the faults "<faults>"
    Then the histories report a violation of "<promise>"

    Examples:
      | planted                               | faults                       | promise   |
      | a worker ignores epochs               | pause                        | ONE_PLACE |
      | an uncertain send is told as refused  | connection silent,calls lost | NOT_RUN   |

  Scenario: a history repeats with its seed
    A history that cannot be repeated is no help in finding the cause of a violation.
    When the history of seed 7 with the faults "kill,calls lost" is run twice
    Then both runs have the same records

  Scenario: an ended attempt that is reported before its job is known does not run again
    A new scheduler that reads a worker's report before the log counted the worker as reported but
    dropped the ends of jobs it did not know yet, so tasks that had succeeded started again.
    When the history of seed 986146092 with the faults "restart,failing worker" is run
    Then the history has no violation

  Scenario: a job that finished under an earlier scheduler does not run again
    A new scheduler that read stream "jobs" only after its tenure began admitted each accepted job and
    was not told of the end of the job that followed in the same read.
    When the quick history of seed 41125321 with the faults "restart,log down" is run
    Then the history has no violation
