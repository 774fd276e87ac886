Feature: Request keys at every entry VM
  An entry VM that is no scheduler is named in no digest. Other failure domains must find it all the
  same, or a repeat there would hear "outcome unknown" while the first outcome is known.

  Scenario: a key is valid at every entry VM of every failure domain
    Given daemons in 2 failure domains with a contract
    When a request with a key issued by each entry VM is sent to every entry VM
    And a request with a caller's own key is sent to every entry VM
    Then every call hears a completed outcome
    And no request was executed twice

  Scenario: a job with an issued key runs while the log is down
    Guards against an outage that stops all new work, and against a provisional job that is lost or runs
    twice when the log is back.

    Given daemons in 2 failure domains with a contract
    When the log is cut off and a job with an issued key is submitted
    Then the answer is PROVISIONAL and the job is done but not recorded
    When the log is back
    Then every entry VM says that the job is done and recorded
    And no request was executed twice
