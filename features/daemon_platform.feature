Feature: Promises of the daemons while the platform fails
  The daemons use the log, the VM list, workers and targets over sockets. These scenarios guard against
  work that is lost, run twice or told wrongly when one of them fails under load, and against operators
  who overwrite each other.

  Scenario: a worker VM is killed while it runs tasks
    Given daemons in 2 failure domains under load
    When a worker that runs tasks is killed
    Then the load ends with every promise kept

  Scenario: the log is down
    Given daemons in 2 failure domains under load
    When the log is down
    Then a job with a caller's key is refused as not run
    And a contract change is refused as not run
    And requests without a caller's key complete at every entry VM
    When the faults of the platform end
    Then the load ends with every promise kept

  Scenario: the log is slow
    Given daemons in 2 failure domains under load
    When each call to the log takes 1 s more for 5 s
    Then the load ends with every promise kept

  Scenario: answers of the log are lost after the effect
    Given daemons in 2 failure domains under load
    When the log loses 30 of 100 answers after the effect
    And the load runs for 4 s
    And the faults of the platform end
    Then the load ends with every promise kept

  Scenario: connections at a target fall silent for good while new ones work
    Given daemons in 2 failure domains under load
    When the connections of target "centro-target-1" fall silent
    Then that target completes requests on new connections
    And the load ends with every promise kept

  Scenario: the VM list lags while a target is replaced
    Given daemons in 2 failure domains under load
    When the VM list of "centro" lags by 5 s
    And target "centro-target-2" is killed and another one is added
    And the load runs for 3 s
    And the faults of the platform end
    Then the load ends with every promise kept

  Scenario: a worker fails everything
    Given daemons in 2 failure domains under load
    When the worker that gets most tasks fails everything from then on
    Then the entry VMs show that worker as set aside
    And the load ends with every promise kept

  Scenario: a wave of cancellations
    Given daemons in 2 failure domains under load
    When 1000 jobs are submitted and cancelled
    Then none of them runs any more
    And the load ends with every promise kept

  Scenario: two operators race on one contract
    Given daemons in 2 failure domains under load
    When two operators change one contract 10 times at different entry VMs
    Then each time one change won and the other was refused
    And the load ends with every promise kept

  Scenario: a target is leaving
    Given daemons in 2 failure domains under load
    When target "pacifico-target-1" is leaving
    And the load runs for 5 s
    Then the load ends with every promise kept
