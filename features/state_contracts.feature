Feature: Contract registry
  All registries that read the same log agree, and a contract never reverts to an older version.
  The sequences combine lost answers, delayed repetitions, truncation, snapshots, restarts and
  older peers.

  Scenario: concurrent changes under faults leave all registries equal
    Fails if registries that read the same log diverge or a contract reverts to an older version.
    When contract changes race in 200 generated histories
    Then every registry agrees with the log and no version decreases

  Scenario: of two concurrent changes, the second is rejected with both versions
    Without a comparison of base versions, the second change would silently overwrite the first.
    When two operators change version 1 of the same contract
    Then the first change has version 2 and the second is rejected with versions 1 and 2

  Scenario: a registry that starts after a truncation waits for a snapshot
    The log has deleted earlier changes, so changes that are applied without a snapshot result in an
    incomplete state.
    When a registry starts after a truncation that removed two changes
    Then it keeps later changes until a snapshot covers the gap and then applies them

  Scenario: the repetition of an accepted change after a truncation is not reported as rejected
    The log has deleted the first record of the change. A reader of the repetition alone would see
    an outdated base version and report an accepted change as lost.
    When a registry reads the repetition of a change that was accepted before a truncation
    Then the outcome of that change is undetermined and not lost

  Scenario: the state of an older peer never replaces newer contracts
    When a registry at offset 5 is offered the state of a peer at offset 3
    Then it keeps its own contracts

  Scenario: a snapshot is due four times per retention time
    A registry that starts after a truncation needs a snapshot that the log has not deleted yet.
    When a registry with one contract runs for two retention times of 400 seconds
    Then a snapshot was due 8 times
