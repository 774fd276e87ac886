Feature: Guarantees of the daemons while the log deletes records
  Jobs and contracts outlive the log records that first announced them. An entry VM that starts after
  the deletion would not know a job without a refresh record, or a contract without a snapshot.

  @known_red
  Scenario: the log deletes records that a restarted scheduler has not read
    Given daemons in 2 failure domains under load, with a log that keeps records for 10 s
    When the load runs for 11 s
    And the scheduler of "centro" is restarted with empty memory
    Then the load ends without a violated guarantee
