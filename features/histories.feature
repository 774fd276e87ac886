Feature: Histories of a failure domain in virtual time
  Runs of real processes are few and cannot be reproduced. Seeded histories of the same components
  under kills, pauses, lost answers and other faults reveal violations that need a rare order of
  events.

  Scenario: a fixed set of histories violates no guarantee
    When the histories command runs with "--quick --histories 40 --seed 11"
    Then it reports no violation

  Scenario Outline: a fault injected into a component is detected
    Fails if the driver or the checks pass whatever the components do.
    When the fault "<fault>" is injected into histories with "<options>"
    Then it reports a violation of "<promise>"

    Examples:
      | fault                                      | promise   | options                                                            |
      | a worker ignores epochs and repeats        | ONE_PLACE | --histories 64 --seed 5 --fault pause --jobs 60 --requests 0       |
      | an uncertain send is told as refused       | NOT_RUN   | --histories 8 --seed 5 --fault connection_silent --jobs 0          |
      | a new scheduler does not wait for reports  | ONE_PLACE | --histories 8 --seed 5 --fault restart --requests 0                |

  Scenario: a history is reproducible by its seed
    The cause of a violation is hard to find in a history that cannot be run again.
    When a history with kills and lost calls is run twice with one seed
    Then both runs have the same records

  Scenario Outline: a history that revealed a fault violates no guarantee
    When the histories command runs with "<options>"
    Then it reports no violation

    Examples: a scheduler dropped ends of jobs that it had not read from the log yet
      | options                                              |
      | --repeat 986146092 --fault restart --fault failing_worker |

    Examples: a scheduler was not notified of job ends that it read after its tenure began
      | options                                              |
      | --quick --repeat 41125321 --fault restart --fault log_down |

  Scenario: a job on a replaced worker ends
    A job whose worker was replaced must not remain without an end or a report that it is late.
    When the histories command runs with "--repeat 4037256808 --fault worker_replaced"
    Then it reports no violation

  Scenario: a finished job is known to an entry VM that starts later
    An entry VM may report a job as unknown only after the log has deleted the outcome of the job.
    When the histories command runs with "--repeat 718906378 --fault kill --fault records_truncated"
    Then it reports no violation
