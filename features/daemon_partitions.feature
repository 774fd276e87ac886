Feature: Guarantees of the daemons during network partitions
  A partitioned failure domain continues to serve requests that do not need the others, and no reported
  result changes after the partition heals. Some daemons run in the test process, so that the mesh
  between failure domains can be interrupted.

  Scenario: a failure domain is partitioned from the others and from the log
    Given daemons in 2 failure domains under load, with "pacifico" embedded
    When "pacifico" is partitioned from the other failure domains and the log
    Then requests without a caller's key complete at every entry VM
    When the partitions heal
    Then the load ends without a violated guarantee

  Scenario: a failure domain is partitioned and its scheduler is killed
    Given daemons in 2 failure domains under load, with "pacifico" embedded
    When "centro" is partitioned from the other failure domains and the log
    And the scheduler of "centro" is killed
    Then "centro" has another scheduler within 10 s
    When the partitions heal
    Then a task starts in "centro" after that
    And the load ends without a violated guarantee

  @known_red
  Scenario: all regions are partitioned from each other
    Given daemons in 3 failure domains under load, with "pacifico,caribe" embedded
    When "centro" is partitioned from the other failure domains
    And "pacifico" is partitioned from the other failure domains
    And the load runs for 4 s
    Then requests without a caller's key complete at every entry VM
    When the partitions heal
    Then the load ends without a violated guarantee
