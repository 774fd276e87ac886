Feature: Contract registry
  All registries that read the same log agree, and a contract never goes back to an older version.
  The sequences mix lost answers, delayed repeats, truncation, snapshots, restarts and older peers.

  Scenario: racing changes with faults, guarding against divergence and reverted contracts
    When contract changes race in 200 generated histories
    Then every registry agreed with the log and no version fell

  Scenario: a lost race names both versions, guarding against a silent overwrite
    When two operators change version 1 of the same contract
    Then the first change has version 2 and the second is refused with versions 1 and 2

  Scenario: a reader behind a truncation waits for a snapshot, guarding against a partial state
    When a registry starts after a truncation that removed two changes
    Then it keeps later changes until a snapshot covers the gap and then applies them

  Scenario: a late repeat of a winner behind a truncation, guarding against a false refusal
    When a registry reads the repeat of a change that won before a truncation
    Then the outcome of that change is undetermined and not lost

  Scenario: an older peer never replaces newer contracts
    When a registry at offset 5 is offered the state of a peer at offset 3
    Then it keeps its own contracts

  Scenario: a snapshot is due every quarter of the retention time
    When a registry with one contract runs for two retention times of 400 seconds
    Then a snapshot was due 8 times
