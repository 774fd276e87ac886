Feature: Promises of the daemons while failure domains are cut off
  A failure domain that is cut off serves what it can and returns without a reversal. Some daemons run
  in the process of the test, so that the mesh between failure domains can be cut.

  Scenario: a failure domain is cut off from the others and from the log
    Given daemons in 2 failure domains under load, with "pacifico" embedded
    When "pacifico" is cut off from the others and from the log
    Then requests without a caller's key complete at every entry VM
    When the cuts are healed
    Then the load ends with every promise kept

  Scenario: a failure domain is cut off while its scheduler dies
    Given daemons in 2 failure domains under load, with "pacifico" embedded
    When "centro" is cut off from the others and from the log
    And the scheduler of "centro" is killed
    Then "centro" has another scheduler within 10 s
    When the cuts are healed
    Then a task starts in "centro" after that
    And the load ends with every promise kept

  Scenario: all regions are apart
    Given daemons in 3 failure domains under load, with "pacifico,caribe" embedded
    When "centro" is cut off from the others
    And "pacifico" is cut off from the others
    And the load runs for 4 s
    Then requests without a caller's key complete at every entry VM
    When the cuts are healed
    Then the load ends with every promise kept
