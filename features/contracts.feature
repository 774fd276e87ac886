Feature: Contract parsing
  Operators see all errors of a contract at once and can correct them in one edit.

  Scenario: every error of a contract is reported with its field
    When a contract with three errors is parsed
    Then the problems name the fields "customer, priority, share_weight"

  Scenario: a missing quota is an error
    Only the value "unlimited" removes a limit, so that a forgotten field does not remove it.
    When a contract without a quota is parsed
    Then the problems name the fields "quota, quota.accelerators_count, quota.memory_mb, quota.processors_millicores"
