Feature: Documentation and examples
  Pages and examples stay true to the code that they describe.

  # Guards against a page of result codes that lacks a code or shows an old meaning.
  Scenario: the page of result codes matches the table in the code
    Then docs/result-codes.md is what tools/write_result_codes.py writes

  # Guards against examples that operators cannot apply.
  Scenario: every example contract and job is valid
    Then every file in examples/contracts is a valid contract
    And every file in examples/jobs is a valid job of an example customer

  # Guards against links to pages that were renamed or never written.
  Scenario: links between pages lead to files
    Then every relative link in README.md and docs leads to a file

  # Guards against pasted requests that the daemon refuses as malformed.
  Scenario: the requests of the page for callers have valid bodies
    Given a daemon in memory with the contract "austral"
    Then the daemon accepts every curl request in docs/callers.md

  # Guards against alarms on metrics that do not exist, and against metrics that no page explains.
  Scenario: the page for operators lists the metrics of the daemon
    Then docs/OPERATIONS.md names every metric of the daemon and no other

  # Guards against parts that can only be understood, tested and changed together.
  Scenario: no modules import each other in a circle
    Then the imports of every package have an order
