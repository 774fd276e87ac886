Feature: Promises of the daemons while entry VMs fail
  Real daemons run over loopback against the stand-ins, under concurrent jobs of each kind and requests
  that are repeated at other entry VMs. A fault in the wiring of clients, mesh, leases and streams would
  break a promise of section 13 that the checks of the core cannot see. The history of every scenario is
  checked for each promise.

  Scenario: the scheduler's entry VM is killed
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" is killed
    Then "centro" has another scheduler within 10 s
    And a task starts in "centro" after that
    And the load ends with every promise kept

  Scenario: another entry VM is killed
    Given daemons in 2 failure domains under load
    When the non-scheduler of "centro" is killed
    Then a task starts in "centro" after that
    And the load ends with every promise kept

  Scenario: the scheduler is paused beyond its leases and resumed
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" is paused for 6 s
    Then "centro" has another scheduler within 10 s
    When the paused entry VM is resumed
    Then a task starts in "centro" after that
    And the load ends with every promise kept

  Scenario: an entry VM that is no scheduler is paused beyond its leases and resumed
    Given daemons in 2 failure domains under load
    When the non-scheduler of "centro" is paused for 6 s
    And the paused entry VM is resumed
    Then the load ends with every promise kept

  Scenario: the scheduler is restarted with empty memory
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" is restarted with empty memory
    Then a task starts in "centro" after that
    And the load ends with every promise kept

  Scenario: the scheduler is told to stop under load
    Given daemons in 2 failure domains under load
    When the scheduler of "centro" gets SIGTERM
    Then it exits with status 0
    And "centro" has another scheduler within 10 s
    And the load ends with every promise kept

  Scenario: the scheduler is killed while the log is down
    Given daemons in 2 failure domains under load
    When the log is down
    And the scheduler of "centro" is killed
    Then "centro" has another scheduler within 10 s
    When the faults of the platform end
    Then a task starts in "centro" after that
    And the load ends with every promise kept

  Scenario: the scheduler is paused while answers of the log are lost
    Given daemons in 2 failure domains under load
    When the log loses 30 of 100 answers after the effect
    And the scheduler of "centro" is paused for 6 s
    And the paused entry VM is resumed
    And the faults of the platform end
    Then the load ends with every promise kept
