Feature: Cancellations of jobs whose submission is not stored yet
  A caller may cancel a job before its submission reaches the log: an append may be slow, be lost and
  repeated, or take effect seconds later, also at another VM. An acknowledged cancellation must hold
  for every submission of the job, whichever comes first.

  Scenario Outline: a job is cancelled while its submission is still being stored
    Guards against a job that runs after its cancellation was acknowledged, because the VM that took
    the cancellation had not read the job.

    Given two daemons and a log whose first append <fault>
    When a job is submitted at one daemon and cancelled 0.2 s later at <place>
    Then the cancellation is acknowledged
    And 10 s later that daemon, and one that starts then, show the job as cancelled

    Examples:
      | fault                        | place      |
      | gets no answer               | the same   |
      | gets no answer               | the other  |
      | takes effect after 1 s       | the same   |
      | takes effect after 4 s       | the other  |
      | takes 0.6 s                  | the same   |
      | takes 0.6 s                  | the other  |

  Scenario: acknowledged cancellations hold whatever happens to the appends
    Guards against an order of submission, repetition, cancellation and query on two daemons in which
    an acknowledged cancellation, or one by another team, has the wrong effect.

    When two daemons serve callers over a log with faults for seeds 0 to 149
    Then each acknowledged cancellation by the team of a job holds for every reader
    And no cancellation by another team has an effect
    And no job is shown that nobody submitted

  Scenario Outline: a scheduler reads a submission after its cancellation
    Guards against a scheduler, or its successor, that starts a job because it did not know it when
    the cancellation was read.

    Given a journal with a cancellation of an unknown <kind> by team "<canceller>"
    When the job is submitted by team "<team>"
    Then <count> of its tasks are started, also after another scheduler has taken over
    And the main partition shows it as <state>

    Examples:
      | kind      | canceller | team    | count | state     |
      | job       |           |         | 0     | cancelled |
      | gang      |           |         | 0     | cancelled |
      | timed job |           |         | 0     | cancelled |
      | job       | austral   | austral | 0     | cancelled |
      | job       | boreal    | austral | 2     | complete  |
      | job       | boreal    |         | 0     | cancelled |
      | job       |           | austral | 2     | complete  |

  Scenario: cancellations of unknown jobs expire
    Guards against a log and memory that callers fill with cancellations of jobs that do not exist, and
    against the deletion of a job that was submitted meanwhile.

    Given a journal with cancellations of two unknown jobs by "austral" and of one of them by "boreal" 60 s later
    When 150 s have passed since the first ones, and the other job is submitted by "boreal" meanwhile
    Then those by "austral" expire, and their deletion leaves the job of "boreal" and its cancellation

  Scenario: a VM stores a limited number of cancellations of unknown jobs
    Guards against a caller that fills the log.

    Given two daemons and a log without faults
    When 300 unknown jobs are cancelled at one daemon at once
    Then 200 to 220 of them are stored, and the others are rejected
    And a job that exists can still be cancelled there
