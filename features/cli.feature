Feature: Operators' command line
  The command line reports the outcome of each call and never resends a request whose outcome is
  unknown. An error message names the field, its value and the accepted values.

  Background:
    Given a daemon in memory with the contract "austral"

  # Guards against an apply that silently overwrites the concurrent change of another operator.
  Scenario: of two concurrent applies, one is refused and names both versions
    When two operators apply different changes to "austral" concurrently
    Then one apply exits with 0 and the other with 23
    And the refused apply names base version 1 and current version 2
    And the history of "austral" has 2 versions

  # Guards against a change to a contract version that the operator has not seen.
  Scenario: apply without a base version shows the current contract and the change
    When the CLI runs "contract apply austral-v2.toml --author ana"
    Then the CLI exits with 0
    And its output contains "# version 1"
    And its output contains "share_weight 1 2"
    And its output contains "austral: version 2 applied"

  # Guards against output of `contract get` that `contract apply` does not accept.
  Scenario: a printed contract can be applied again
    When the CLI runs "contract get austral"
    And its output is written to "printed.toml"
    And the CLI runs "contract diff printed.toml"
    Then the CLI exits with 0
    And its output contains "no difference"

  # Guards against a stale base version that is accepted as the current one.
  Scenario: a stale base version is refused
    When the CLI runs "contract apply austral-v2.toml --base-version 0"
    Then the CLI exits with 23
    And its errors contain "base version 0, current version 1"

  # Guards against an error message that reports only the first problem or omits what is accepted.
  Scenario: an invalid contract is refused offline and all its problems are listed
    When the CLI runs "contract check invalid.toml"
    Then the CLI exits with 22
    And its errors contain "share_weight: -1 is not valid; accepted: a number above 0"
    And its errors contain "priority: 11 is not valid; accepted: 0 to 9"
    And its errors contain "requests_per_second: inf is not valid; accepted: a finite number"
    And the daemon has received 0 calls

  # Guards against commands that fail on valid input or exit with a wrong status.
  Scenario Outline: commands exit with the status of the result code
    Given the job of "job.toml" was submitted
    When the CLI runs "<command>"
    Then the CLI exits with <status>
    And its output contains "<text>"

    Examples:
      | command                                                                 | status | text                          |
      | contract list                                                           | 0      | austral                       |
      | contract history austral                                                | 0      | (first version)               |
      | contract check austral-v2.toml                                          | 0      | valid contract of austral     |
      | contract diff austral-v2.toml                                           | 0      | share_weight                  |
      | job submit job.toml                                                     | 0      | waiting                       |
      | job submit job.json                                                     | 0      | waiting                       |
      | job status JOB                                                          | 0      | waiting                       |
      | job cancel JOB                                                          | 0      | cancelled                     |
      | job list --customer austral                                             | 0      | centro                        |
      | explain JOB                                                             | 0      | waits for 2 free accelerators |
      | job explain JOB                                                         | 0      | waits for 2 free accelerators |
      | vm list                                                                 | 0      | entry-1/00ff                  |
      | vm list --role worker                                                   | 0      | leaving                       |
      | status                                                                  | 0      | 0.618                         |
      | top --count 2 --interval-s 0.1                                          | 0      | running_tasks_count           |
      | domain lost caribe --yes                                                | 0      | declared lost                 |
      | request send dispatch --customer austral --kind check --body a --key k1 | 0      | A                             |
      | keys issue austral --count 2                                            | 0      | k1.1                          |

  # Guards against JSON output that a program cannot parse, after success or failure.
  Scenario Outline: JSON output is one object with the result code
    When the CLI runs "<command> --output json"
    Then the CLI exits with <status>
    And its output is one JSON object with code <code>

    Examples:
      | command                                    | status | code |
      | contract get austral                       | 0      | 0    |
      | contract apply austral-v2.toml             | 0      | 0    |
      | contract get nobody                        | 20     | 112  |
      | contract check invalid.toml                | 22     | 110  |
      | contract apply austral-v2.toml --base-version 0 | 23 | 111  |
      | job submit job.toml                        | 0      | 10   |
      | job status j-none                          | 20     | 105  |
      | domain lost caribe                         | 2      | 402  |
      | status                                     | 0      | 0    |

  # Guards against a failed or cancelled job that a script treats as successful.
  Scenario Outline: the exit status of "job status" reports how the job ended
    Given the job of "job.toml" was submitted and is <state>
    When the CLI runs "job status JOB --output json"
    Then the CLI exits with <status>
    And its output is one JSON object with code <code>

    Examples:
      | state     | status | code |
      | done      | 0      | 0    |
      | failed    | 10     | 20   |
      | cancelled | 11     | 21   |
      | unknown   | 40     | 300  |

  # Guards against usage errors that do not name the option, its value and what is accepted.
  Scenario Outline: a usage error is explained and no request is sent
    When the CLI runs "<command>"
    Then the CLI exits with <status>
    And its errors contain "<text>"
    And the daemon has received 0 calls

    Examples:
      | command                                             | status | text                                                 |
      | status --server localhost:1                         | 2      | --server: 'localhost:1' is not valid; accepted: IP:P |
      | status --server 127.0.0.1:0                         | 2      | --server: '127.0.0.1:0' is not valid                 |
      | status --timeout-s 0                                | 2      | --timeout-s: 0.0 is not valid; accepted: a number    |
      | status --output xml                                 | 2      | choose from 'table', 'json'                          |
      | top --count x                                       | 2      | --count: 'x' is not valid; accepted: a whole number  |
      | top --count 0                                       | 2      | --count: 0 is not valid; accepted: 1 to 1000         |
      | vm list --role node                                 | 2      | accepted: entry, worker or target                    |
      | keys issue austral --count 1001                     | 2      | accepted: 1 to 1000                                  |
      | domain lost caribe                                  | 2      | its tasks would run in two places                    |
      | request send s --customer a --kind b                | 2      | --key: (missing) is not valid; accepted: 1 to 128    |
      | contract apply missing.toml                         | 2      | FILE: 'missing.toml' is not valid; accepted: a reada |
      | contract apply austral-v2.toml --base-version -1    | 2      | --base-version                                       |
      | contract apply broken.toml                          | 22     | FILE: 'broken.toml' is not valid; accepted: valid TO |
      | job submit keyless.toml                             | 20     | key: (missing) is not valid; accepted: 1 to 128      |
      | job submit twice.json                               | 20     | valid JSON (field 'key' is given more than once)     |
      | job                                                 | 2      | too few arguments                                    |
      | contract move                                       | 2      | 'move'                                               |

  # Guards against a request that is executed twice: the first server executes it but its answer is
  # lost, and the client sends the request to the next server.
  Scenario: the next server is tried only if the connection was refused
    When the CLI runs "job submit job.toml --server 127.0.0.1:1,DAEMON"
    Then the CLI exits with 0
    And the daemon has received 1 calls
    Given the daemon is replaced by a server with the fault "close"
    When the CLI runs "job submit job.toml --server FAULTY,DAEMON"
    Then the CLI exits with 40
    And the daemon has received 1 calls

  # Guards against an error message that leaves open whether a request without an answer took effect.
  Scenario: the error for an unreachable server says that nothing was sent
    When the CLI runs "job submit job.toml --server 127.0.0.1:1"
    Then the CLI exits with 50
    And its errors contain "127.0.0.1:1 refused the connection"
    And its errors contain "nothing was sent"

  # Guards against a reported failure, or an automatic retry, after the request was sent.
  Scenario Outline: a lost answer to a request that changes state is an unknown outcome
    Given the daemon is replaced by a server with the fault "<fault>"
    When the CLI runs "<command> --timeout-s 0.3"
    Then the CLI exits with 40
    And its errors contain "OUTCOME_UNKNOWN (300, outcome unknown)"
    And its errors contain "<advice>"
    And the faulty server has received 1 call

    Examples:
      | fault         | command                                          | advice                            |
      | close         | job submit job.toml                              | the same key 'plan-1'             |
      | truncate      | job submit job.toml                              | fireflywharf job status j-        |
      | silence       | job submit job.toml                              | did not answer in 0.3 s           |
      | gateway error | job submit job.toml                              | HTTP status 502                   |
      | internal error | job submit job.toml                              | answered INTERNAL_ERROR           |
      | close         | contract apply austral-v2.toml --base-version 1  | contract history austral          |
      | truncate      | job cancel j-1                                   | fireflywharf job status j-1       |
      | close         | request send s --customer a --kind b --key k9    | the same key 'k9'                 |
      | close         | domain lost caribe --yes                         | fireflywharf status               |
      | close         | keys issue austral                               | no effect until it is used        |

  # Guards against an unknown outcome that is reported for a read-only call.
  Scenario: a lost answer to a read-only call is not an unknown outcome
    Given the daemon is replaced by a server with the fault "truncate"
    When the CLI runs "job status j-1"
    Then the CLI exits with 50
    And its errors contain "only reads"

  # Guards against a traceback or an undocumented exit status on malformed files or answers.
  Scenario: malformed files and answers cause no traceback
    Then any contract file gives a documented exit status without a traceback
    And any answer of a daemon gives a documented exit status without a traceback

  # Guards against an interrupted submission that is reported as not sent, and against a `top` that
  # cannot be interrupted.
  Scenario Outline: the exit status of an interrupted call says whether its outcome is unknown
    When the operator interrupts "<command>" while it waits for an answer
    Then the CLI exits with <status>

    Examples:
      | command             | status |
      | job submit job.toml | 40     |
      | top                 | 130    |

  # Guards against filters that apply to only one output format.
  Scenario Outline: VM filters apply to both output formats
    When the CLI runs "vm list --domain centro-a --role worker --output <format>"
    Then the CLI exits with 0
    And its output contains "worker-1"
    And its output does not contain "live"

    Examples:
      | format |
      | table  |
      | json   |

  # Guards against an error of the target that a script treats as a success.
  Scenario: a target error has its own exit status
    When the CLI runs "request send dispatch --customer austral --kind check --body fail --key k1"
    Then the CLI exits with 12
    And its output contains "status 500"

  # Guards against a `job list` that fails because the daemon no longer knows the kind of a finished
  # job.
  Scenario: a finished job of unknown kind is listed
    Given the job of "job.toml" was submitted and is done
    And the daemon does not know the kind of any job
    When the CLI runs "job list"
    Then the CLI exits with 0
    And its output contains "austral - done centro-a no"

  # Guards against terminal escape sequences in texts that a caller chose.
  Scenario: control characters in answers do not reach the terminal
    Given the daemon is replaced by a server whose job state contains an escape character
    When the CLI runs "job status j-1"
    Then the CLI exits with 0
    And its output contains "?[2J"

  # Guards against a job timeline that lacks the events of its VMs and workers, or that contains the
  # events of other jobs.
  Scenario: explain-log merges the events of a job from the logs of two VMs
    Given the logs "vm-1.log" and "vm-2.log" of a job that ran across a scheduler failover
    When the CLI runs "explain-log 4a7 vm-1.log vm-2.log"
    Then the CLI exits with 0
    And its output has these lines in order
      | time  | vm   | message                             | details           |
      | 00.95 | vm-1 | append of the scheduler is repeated | repeated=2        |
      | 01.00 | vm-1 | job accepted                        | ms=100            |
      | 01.20 | vm-2 | run placed                          | run=4a7.0.0.0#1   |
      | 02.00 | vm-2 | worker does not answer              | worker=w-1        |
      | 03.00 | vm-2 | run ended                           | how=lease_lapsed  |
    And its output does not contain "4a70"
    And its output does not contain "w-2"
    And its output contains "1 lines could not be read"

  # Guards against an empty timeline without an error.
  Scenario Outline: explain-log fails if no log file covers the job
    Given the logs "vm-1.log" and "vm-2.log" of a job that ran across a scheduler failover
    When the CLI runs "<command>"
    Then the CLI exits with <status>
    And its errors contain "<text>"

    Examples:
      | command                      | status | text                     |
      | explain-log 4a9 vm-1.log     | 20     | no line of the log names |
      | explain-log 4a7 missing.log  | 2      | No such file             |
