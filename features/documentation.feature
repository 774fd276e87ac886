Feature: Documentation and examples
  Pages and examples match the code that they describe.

  # Guards against a page of result codes that lacks a code or shows an outdated meaning.
  Scenario: the page of result codes matches the table in the code
    Then docs/result-codes.md is what tools/write_result_codes.py writes

  # Guards against examples that the daemon refuses.
  Scenario: every example contract and job is valid
    Then every file in examples/contracts is a valid contract
    And every file in examples/jobs is a valid job of an example customer

  # Guards against links to pages that were renamed or never written.
  Scenario: links between pages lead to files
    Then every relative link in README.md and docs leads to a file

  # Guards against pasted requests that the daemon refuses as malformed.
  Scenario: the example requests in the page for callers have valid bodies
    Given a daemon in memory with the contract "austral"
    Then the daemon accepts every curl request in docs/callers.md

  # Guards against alerts on metrics that do not exist, and against undocumented metrics.
  Scenario: the page for operators lists all metrics of the daemon
    Then docs/OPERATIONS.md names every metric of the daemon and no other

  # Guards against modules that can only be understood, tested and changed together.
  Scenario: modules have no circular imports
    Then the imports of every package form no cycle
