Feature: Contract parsing
  Operators see every error of a contract at once, so that one edit can correct them all.

  Scenario: every error of a contract is reported with its field
    When a contract with three errors is parsed
    Then the problems name the fields "customer, priority, share_weight"

  Scenario: an absent quota is an error, because only "unlimited" lifts a bound
    When a contract without a quota is parsed
    Then the problems name the fields "quota, quota.accelerators_count, quota.memory_mb, quota.processors_millicores"
