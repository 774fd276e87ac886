Feature: Guarantees of the daemons while the platform fails
  The daemons use the log, the VM list, workers and targets over sockets. These scenarios guard against
  work that is lost, runs twice or is reported with a wrong outcome when one of these fails under load,
  and against operators who overwrite each other's changes.

  Scenario: a worker VM is killed while it runs tasks
    Given daemons in 2 failure domains under load
    When a worker that runs tasks is killed
    Then the load ends without a violated guarantee

  @known_red
  Scenario: the log is down
    Given daemons in 2 failure domains under load
    When the log is down
    Then a job with a caller's key is refused as not run
    And a contract change is refused as not run
    And requests without a caller's key complete at every entry VM
    When the platform faults end
    Then the load ends without a violated guarantee

  Scenario: the log is slow
    Given daemons in 2 failure domains under load
    When each call to the log is delayed by 1 s for 5 s
    Then the load ends without a violated guarantee

  Scenario: answers of the log are lost after the calls were executed
    Given daemons in 2 failure domains under load
    When the log executes all calls but loses 30 of 100 answers
    And the load runs for 4 s
    And the platform faults end
    Then the load ends without a violated guarantee

  Scenario: open connections to a target stop responding while new connections work
    Given daemons in 2 failure domains under load
    When the open connections to target "centro-target-1" stop responding
    Then that target completes requests on new connections
    And the load ends without a violated guarantee

  Scenario: the VM list is out of date while a target is replaced
    Given daemons in 2 failure domains under load
    When the VM list of "centro" lags by 5 s
    And target "centro-target-2" is killed and a new target is added
    And the load runs for 3 s
    And the platform faults end
    Then the load ends without a violated guarantee

  Scenario: a worker fails every command
    Given daemons in 2 failure domains under load
    When the worker with the most task starts fails every command from then on
    Then the entry VMs report that worker as set aside
    And the load ends without a violated guarantee

  Scenario: many jobs are submitted and cancelled
    Given daemons in 2 failure domains under load
    When 1000 jobs are submitted and cancelled
    Then no task of these jobs is running
    And the load ends without a violated guarantee

  Scenario: two operators change one contract concurrently
    Given daemons in 2 failure domains under load
    When two operators concurrently change one contract 10 times at different entry VMs
    Then each time one change was applied and the other was refused
    And the load ends without a violated guarantee

  Scenario: a target leaves under load
    Given daemons in 2 failure domains under load
    When target "pacifico-target-1" is marked as leaving
    And the load runs for 5 s
    Then the load ends without a violated guarantee
