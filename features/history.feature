Feature: Checks of the history of a run
  The tests of the guarantees rely on these checks. Each kind of violation is injected once into a
  history, and exactly the check for it must report it.

  Scenario: a history without violations passes every check
    A check that reports a correct run makes the tests that use it useless.
    Given a clean history
    Then no check reports a violation

  Scenario Outline: an injected violation is reported by its own check only
    A check that misses its violation lets every later test pass.
    Given a clean history
    When "<violation>" is injected
    Then only a violation of "<promise>" is reported

    Examples:
      | promise       | violation                                                    |
      | ROOM          | a start beyond the capacity                                  |
      | ROOM          | a resize beyond the capacity                                 |
      | ROOM          | a request beyond the slots                                   |
      | ONE_PLACE     | a second attempt while the first runs                        |
      | OWN_ANSWER    | an answer to another request                                 |
      | OWN_ANSWER    | two answers to one call                                      |
      | OWN_ANSWER    | a call without an answer                                     |
      | OWN_ANSWER    | a lost call without a kill                                   |
      | OWN_ANSWER    | a call lost before the kill                                  |
      | OWN_ANSWER    | a call lost after the kill                                   |
      | NOT_RUN       | an execution of a call reported as not run                   |
      | NOT_RUN       | an execution of a call reported as not run before its repeat |
      | AT_MOST_ONCE  | a second execution of a non-idempotent call                  |
      | LEAVING       | a start 3.1 s after leaving                                  |
      | SHUTDOWN      | a call unknown after SIGTERM                                 |
      | SHUTDOWN      | an exit status of 51                                         |
      | CONFIGURATION | an outdated version shown after 10.5 s                       |
      | CONFIGURATION | a version that decreases                                     |
      | CONFIGURATION | a version that is never shown                                |
      | NOTHING_LOST  | a job that never ends                                        |
      | NOTHING_LOST  | a job reported as done without a successful task             |
      | NOTHING_LOST  | a late job without a report                                  |
      | NOTHING_LOST  | an end state that changes                                    |
      | NOTHING_LOST  | a start after success                                        |
      | NOTHING_LOST  | a second start of a task that is not restartable             |
      | FAIR_SHARE    | equal service at weights of two to one                       |
      | FAIR_SHARE    | equal request service at two to one                          |

  Scenario: records are unchanged after encoding and decoding as JSON lines
    Then every record of a clean history equals its decoded JSON line
    And a line of an unknown type is rejected
