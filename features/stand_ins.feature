Feature: Stand-ins for the platform
  A stand-in that accepts more than the platform does, or whose recorded effects are wrong, would hide
  faults of the daemon. These scenarios check the stand-ins against section 2 of the design.

  Scenario: a worker refuses the epoch of an earlier holder
    Given a stand-in platform with 1 worker
    When holder "a" claims the worker for 0.2 s
    And holder "b" claims the worker for 5 s after 0.3 s
    Then a start by holder "a" is refused as stale
    And a start by holder "b" is accepted
    And the effects show 1 attempt

  Scenario: no sequence of commands exceeds the capacity of a worker or runs an attempt twice
    Then random command sequences keep a worker within its capacity

  Scenario: attempts end when the holder stops renewing them, and stay listed until acknowledged
    Given a worker on a manual clock with a task lease of 30 s
    When an attempt that takes 100 s starts
    And 31 s pass without a renewal
    Then the attempt ended as lease_lapsed 30 s after its start
    And the attempt is listed until it is acknowledged

  Scenario: only a renewal that asks for it renews the task leases
    Given a worker on a manual clock with a task lease of 30 s
    When an attempt that takes 100 s starts
    And the holder renews every second for 40 s without renewing tasks
    Then the attempt ended as lease_lapsed 30 s after its start
    When an attempt that takes 100 s starts again
    And the holder renews every second for 110 s with its tasks
    Then the attempt ends 100 s after its start

  Scenario: a throttled attempt runs longer and a checkpointed one resumes
    Given a worker on a manual clock with a task lease of 30 s
    When an attempt that takes 10 s is throttled to half after 2 s
    Then the attempt ends 18 s after its start
    When another attempt that takes 10 s is checkpointed after 4 s
    Then its next attempt ends 6 s after its start

  Scenario: a throttled attempt cannot take back capacity that another attempt uses
    Given a worker on a manual clock with a task lease of 30 s
    When an attempt with all processors is throttled and another attempt takes the freed capacity
    Then raising the limit of the first attempt is refused because no capacity is free

  Scenario: an append whose answer was lost took effect, and its retry gets the first offset
    Given a stand-in platform with 1 worker
    When the log loses the answer to an append
    Then the writer saw a closed connection
    And the retry of the append is answered with offset 0
    And the log holds the record once

  Scenario: retention raises the first available offset
    Given a log that keeps 3 records
    When 5 records are appended to the stand-in log
    Then a read from offset 0 starts at offset 2

  Scenario: the log refuses appends above its rate
    Given a log on a manual clock that accepts 10 appends per second
    Then 10 of 15 simultaneous appends are accepted
    And 5 of 15 appends 0.5 s later are accepted

  Scenario: a worker that fails every attempt ends each as failed
    Given a stand-in platform with 1 worker
    When the stand-in worker fails every attempt
    And holder "a" claims the worker for 5 s
    Then a start by holder "a" is accepted
    And the stand-in's attempt ends as failed

  Scenario: a killed worker loses its attempts
    Given a stand-in platform with 1 worker
    When holder "a" claims the worker for 5 s
    Then a start by holder "a" is accepted
    When the stand-in worker is killed through the control server
    Then the stand-in's attempt ends as vm_died
    And the worker refuses connections until it is restarted

  Scenario: a stand-in that hangs accepts calls and neither executes nor answers them
    Given a stand-in platform with 1 worker
    When the stand-in log hangs
    Then an append gets no answer and no effect until the fault ends

  Scenario: silent connections stay silent while new connections work
    Given a stand-in platform with 1 worker
    When the log goes silent under an open connection
    Then the open connection gets no answer and no effect
    And a new connection to the log works

  Scenario: a truncated answer is shorter than its declared length
    Given a stand-in platform with 1 worker
    When the log truncates its answers
    Then a read of the log ends early

  Scenario: crossed and corrupt answers are detectable by request id and digest
    Given a stand-in platform with 1 target of 2 slots
    When the target answers one request correctly and the next with a crossed answer
    Then the crossed answer carries the request id of the first
    When the target corrupts its answers
    Then the digest of an answer does not match its body

  Scenario: a target refuses requests beyond its slots before they start and reports them as not run
    Given a stand-in platform with 1 target of 2 slots
    When 5 requests arrive at the target concurrently
    Then 2 of them ran and 3 were refused as not run
    And the target starts no request of a stale epoch

  Scenario: a killed target aborts its requests and restarts with another boot id
    Given a stand-in platform with 1 target of 2 slots
    When the stand-in target is killed while a request runs
    Then the caller of the request gets no answer
    And the effects show an execution that did not complete
    And the restarted target has another boot id and the same epoch

  Scenario: the recording caller tells its own answer from a wrong answer and a broken connection
    Given an entry VM that answers correctly, then with another body, then with half an answer
    When the recording caller sends 3 requests
    Then the recorded outcomes are "completed, completed, lost"
    And only the second and the third violate OWN_ANSWER

  Scenario: the VM list shows a change only after its lag
    Given a VM list on a manual clock with a lag of 2 s
    When a VM of the list is marked as leaving
    Then the list shows it as live 1.9 s later
    And the list shows it as leaving 2.1 s later

  Scenario: one process serves a topology until SIGTERM
    When the stand-in command runs a topology with 2 workers
    Then the stand-in command prints the addresses and its log answers
    And the stand-in command exits with status 0 after SIGTERM
    And the stand-in's effects file holds the append

  Scenario: all errors of a topology are reported together
    When the stand-in command runs a topology with four errors
    Then the stand-in command exits with status 21 and names "domains[0].region, domains[0].workers[0].count, host, task_lease"

  Scenario: a port is not allocated to two processes
    Guards against two concurrent test runs that choose the same port before either server listens on it.
    Given this process has allocated a port
    Then another process that may use only this port finds no free port
