Feature: Promises of the daemons while the log deletes records
  Jobs and contracts outlive the records that told of them first. A job that is not refreshed, or a
  contract without a snapshot, would be lost to an entry VM that starts after the deletion.

  Scenario: records of the log are deleted below the readers
    Given daemons in 2 failure domains under load, with a log that keeps records for 10 s
    When the load runs for 11 s
    And the scheduler of "centro" is restarted with empty memory
    Then the load ends with every promise kept
