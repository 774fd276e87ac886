Feature: Reports of the checks
  A failure that occurs once can only be traced if its message and the logs of its processes are kept.

  Scenario: the report of a scenario that does not pass has its cause and the folder of its logs
    Guards against errors whose traceback is lost, and against logs that are removed with the run.

    Given features of which one step fails and one raises an error, each after a log was written
    When the checks run them 11 times
    Then the printed report has the failed assertion and the traceback of the error
    And each printed folder of the last run has the log
    And the folders of 20 failed scenarios are kept
