Feature: Job states that callers get
  An entry VM reads the log once a second and asks the scheduler of a job for its present state.

  Scenario: a recorded end is found in the log if the scheduler does not answer
    Another entry VM may have reported the job as done already. One that has not read the end yet
    would report it as waiting.

    Given an entry VM that has not read the end of a job yet
    When a caller asks for the state while the scheduler of the job does not answer
    Then the state is "done"

  Scenario: the last known state is returned if neither the scheduler nor the log answers
    A log that cannot be read must not make the query fail.

    Given an entry VM that cannot read the end of a job
    When a caller asks for the state while the scheduler of the job does not answer
    Then the state is "waiting"
