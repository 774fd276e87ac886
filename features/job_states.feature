Feature: States of jobs that callers are told
  An entry VM reads the log once a second and asks the scheduler of a job for the present state.

  Scenario: the scheduler does not answer and the end is in the log
    Guards against a job that is shown as waiting after another entry VM has shown it as done.

    Given an entry VM that has not read the end of a job yet
    When a caller asks for the state while the scheduler of the job does not answer
    Then the state is "done"

  Scenario: neither the scheduler nor the log answers
    Guards against an answer that fails because the log cannot be read.

    Given an entry VM that cannot read the end of a job
    When a caller asks for the state while the scheduler of the job does not answer
    Then the state is "waiting"
