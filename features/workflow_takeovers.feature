Feature: Jobs in flight at a change of scheduler
  A task waits for the runs of an earlier tenure only if one of them may be its own. A worker that does not
  answer must not hold back the others.

  Scenario Outline: a task waits only if an earlier tenure may have started a run of it
    Guards against one lost worker that holds back all jobs in flight, and against a second run of a task that
    may be at work on that worker.

    Given <work> on the first of three workers, and a task on each of the others
    When the <lost> worker falls silent, and another scheduler takes over before it is noticed
    And <event> 1 s later
    Then <task> is started <when>
    And no task runs twice

    Examples:
      | work           | lost  | event                       | task             | when               |
      | a lasting task | last  | the first worker's run fails | it              | within 0.5 s       |
      | a lasting task | first | nothing happens             | it               | after the wait     |
      | a first step   | last  | the first worker's run ends | the next step    | within 0.5 s       |
      | a first step   | first | nothing happens             | it               | after the wait     |
      | a gang of two  | last  | the first worker's run fails | it              | within 0.5 s       |
      | a gang of two  | second | the first worker's run fails | it             | after the wait     |

  Scenario Outline: a task whose run ended before the change waits for the lost worker
    Guards against a second run: the earlier scheduler may have known the end and have started the task again, or
    the next step, on the worker that is lost.

    Given <work> on the first of three workers, and a task on each of the others
    When its run <ends>, the earlier scheduler starts <task> on the last worker, which falls silent
    And another scheduler takes over, which knows of neither
    Then <task> is started after the wait
    And no task runs twice

    Examples:
      | work           | ends  | task          |
      | a lasting task | fails | it            |
      | a first step   | ends  | the next step |
