Feature: Guarantees of the daemons while entry VMs fail
  Daemon processes run over loopback against the stand-ins, under concurrent jobs of each kind and
  requests that are retried at other entry VMs. These scenarios find violations of section 13 of the
  design that come from the integration of clients, mesh, leases and streams, which the tests of the core
  do not cover. The recorded history of every scenario is checked for each guarantee.

  Scenario: the scheduler's entry VM is killed
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" is killed
    Then "centro" has another scheduler within 10 s
    And a task starts in "centro" after that
    And the load ends without a violated guarantee

  Scenario: an entry VM that is not the scheduler is killed
    Given daemons in 2 failure domains under load
    When the non-scheduler of "centro" is killed
    Then a task starts in "centro" after that
    And the load ends without a violated guarantee

  @known_red
  Scenario: the scheduler is paused until its leases have expired and is then resumed
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" is paused for 6 s
    Then "centro" has another scheduler within 10 s
    When the paused entry VM is resumed
    Then a task starts in "centro" after that
    And the load ends without a violated guarantee

  Scenario: an entry VM that is not the scheduler is paused until its leases have expired and is then resumed
    Given daemons in 2 failure domains under load
    When the non-scheduler of "centro" is paused for 6 s
    And the paused entry VM is resumed
    Then the load ends without a violated guarantee

  Scenario: the scheduler is restarted with empty memory
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" is restarted with empty memory
    Then a task starts in "centro" after that
    And the load ends without a violated guarantee

  Scenario: the scheduler shuts down gracefully under load
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" receives SIGTERM
    Then it exits with status 0
    And "centro" has another scheduler within 10 s
    And the load ends without a violated guarantee

  Scenario: the scheduler is killed while the log is down
    Given daemons in 2 failure domains under load
    When the log is down
    And the scheduler of "centro" is killed
    Then "centro" has another scheduler within 10 s
    When the platform faults end
    Then a task starts in "centro" after that
    And the load ends without a violated guarantee

  Scenario: the scheduler is paused and resumed while answers of the log are lost
    Given daemons in 2 failure domains under load
    When the log executes all calls but loses 30 of 100 answers
    And the scheduler of "centro" is paused for 6 s
    And the paused entry VM is resumed
    And the platform faults end
    Then the load ends without a violated guarantee
