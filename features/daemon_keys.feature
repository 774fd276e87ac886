Feature: Request keys at every entry VM
  The digests that failure domains exchange do not name entry VMs that are not schedulers. Other failure
  domains must still find such a VM: otherwise a retry there returns "outcome unknown" although the first
  outcome is known.

  Scenario: a key is valid at every entry VM of every failure domain
    Given daemons in 2 failure domains with a contract
    When a request with a key issued by each entry VM is sent to every entry VM
    And a request with a caller's key is sent to every entry VM
    Then every call returns a completed outcome
    And no request was executed twice

  Scenario: a job with an issued key runs while the log is down
    Guards against a log outage that stops all new work, and against a provisional job that is lost or
    runs twice when the log is reachable again.

    Given daemons in 2 failure domains with a contract
    When the log is unreachable and a job with an issued key is submitted
    Then the answer is PROVISIONAL and the job is done but not recorded
    When the log is reachable again
    Then every entry VM reports the job as done and recorded
    And no request was executed twice
