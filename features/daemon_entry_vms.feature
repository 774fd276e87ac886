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
