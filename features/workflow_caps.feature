Feature: A team never has more running than its cap
  The workers keep their own record of what runs; each start is checked against it. All times are
  virtual. Team t has a cap of 6 processors on 4 workers of 4 processors, unless stated otherwise.

  Scenario Outline: work of all kinds keeps the cap while faults happen, and all of it ends
    Guards against charges that are released while a run may be alive, or never. Among the work are
    gangs, wide steps, chains, tasks that fill idle time and tasks that fail.

    Given team t and a mix of its work and that of others, in 12 seeded runs
    When the work arrives over 12 s while <fault>
    Then no start raised the team above its cap, and the team reached it in most runs
    And all jobs have ended within 60 s

    Examples:
      | fault                                           |
      | nothing fails                                   |
      | orders get no answer or are carried out late    |
      | workers restart and fall silent                 |
      | the scheduler is killed every 3 s               |
      | all of these happen                             |

  Scenario Outline: a scheduler that is killed at the cap leaves runs that its successor cannot see
    Guards against a successor that only counts the runs that workers have reported to it.

    Given team t at its cap with <work> that take 8 s
    When the scheduler is replaced while 2 workers do not answer it for 3 s
    And 12 new tasks of the team arrive at once
    Then no start raised the team above its cap
    And tasks of another team that arrive at once start within 0.5 s

    Examples:
      | work             |
      | single tasks     |
      | a gang           |
      | long-lived tasks |

  Scenario: a job without progress uses what the inherited jobs leave of the cap
    Guards against a successor that starts nothing of the team, or everything, until all workers
    have reported.

    Given team t with a job of 4 tasks that take 8 s
    When the scheduler is replaced while 2 workers do not answer it for 3 s
    And 12 new tasks of the team arrive at once
    Then 6 tasks of the team run after 1 s, and no start raised the team above its cap

  Scenario: runs of a cancelled job that were not stopped count for the next schedulers
    Guards against closing a job of a team while its runs may be alive: a later scheduler would not
    know whose they are.

    Given team t at its cap with single tasks that take 30 s
    When their job is cancelled while the 2 workers that run them do not answer
    And the scheduler is replaced twice within 4 s
    And 12 new tasks of the team arrive at once
    Then no start raised the team above its cap

  Scenario Outline: schedulers that overlap keep the cap together
    Guards against a paused or superseded scheduler that replaces ended runs while its successor
    does the same.

    Given team t with a queue of short tasks, and a scheduler at the cap, in 20 seeded runs
    When <event>, at a random time and for up to 9 s
    Then no start raised the team above its cap, and the team reached it in most runs

    Examples:
      | event                                                                 |
      | the scheduler is cut off from the store                               |
      | the scheduler is cut off from the store and half of the workers       |
      | two schedulers begin one after the other and both reach the workers   |
      | two schedulers begin one after the other and each reaches two workers |

  Scenario: a cap that is lowered below the use stops nothing and starts nothing
    Given team t at its cap with single tasks that take 3 s
    When its cap is lowered to 2 processors and 6 tasks more arrive
    Then no run of the team is stopped, and none starts until fewer than 2 tasks run
    And at most 2 tasks of the team run from then on, and all of them end

  Scenario: a cap that is raised takes effect at once
    Given team t at its cap with single tasks that take 3 s
    When 6 tasks more arrive, and its cap is raised to 8 processors
    Then 8 tasks of the team run 0.1 s later

  Scenario Outline: the last cap of a removed team stays in force
    Given team t at its cap with single tasks that take 1 s, and 12 tasks more
    When the team is removed from the configuration and <event>
    Then no start raised the team above its cap, and all jobs have ended within 20 s

    Examples:
      | event                       |
      | its tasks end               |
      | the cap of another is added |

  Scenario: no task of a team starts before the caps are known
    Given a scheduler that does not know the teams yet
    When a task of a team and one without a team arrive
    Then only the one without a team starts until the teams are known

  Scenario: tasks that fill idle time count with their full size
    Given team t with 12 tasks of 1 processor that fill idle time
    When they run
    Then no start raised the team above its cap

  Scenario: a gang that the cap holds takes nothing from others
    Guards against reservations, places and approvals for work that may not start.

    Given team t at its cap in a world with approvals, and a gang of the team that waits
    When single tasks of another team arrive for 3 s
    Then no approval was requested for the gang, and nothing is reserved for it
    And the tasks of the other team start as fast as without the gang

  Scenario: a step asks for approval of the tasks only that its cap allows
    Given team t in a world with approvals, with 2 processors left of its cap
    When a step of 40 tasks of the team arrives
    Then its first request names workers for 2 tasks

  Scenario: the log and the metrics tell which cap holds a step, and the class of its job
    Given team t at its cap with single tasks that take 8 s
    When a task of the team and a gang of 2 tasks beyond its weight arrive
    Then the log fields of the task are "owed" and "processors: 6000m held, 1000m wanted, cap 6000m"
    And the log fields of the gang are "excess" and "processors: 6000m held, 2000m wanted, cap 6000m"
    And the metrics show 6000 millicores held by the team, 2 held steps and 1 excess job
    And they show no team after the team is removed

  Scenario: a daemon that becomes scheduler knows the caps, also the last one of a removed team
    Guards against a successor that starts work of teams without their caps, and against versions of
    the configuration that reach callers but not the scheduler.

    Given a daemon that has read a cap of 6 processors for team t, and then its removal
    When the daemon becomes scheduler
    Then its scheduler applies the cap of 6 processors to the team, which is not listed
    And it applies a cap of 2 processors within 1 s of reading the version that sets it

  Scenario: the cap of a team that the scheduler has not read holds
    Guards against starts without a cap while a version with a new team has reached the VM that
    accepts its jobs but not the scheduler, and after the removal of a team.

    Given a scheduler whose configuration does not list team t, which has a cap of 6 processors
    When 12 tasks of the team arrive in jobs that name its quota
    Then the team has had 6 processors running at most, and all its jobs are complete

  Scenario Outline: a job that its team's cap never allows to start is found when it is submitted
    Guards against callers who wait for a job that cannot run, and against rejections of wide steps
    that run a part at a time.

    When a job with <kind> of <count> tasks of <cores> processors is checked against a cap of 6
    Then <answer> is found

    Examples:
      | kind   | count | cores | answer                                                    |
      | a gang | 6     | 1     | nothing                                                   |
      | a gang | 7     | 1     | steps[1], processors_millicores of a gang: 7000 of 6000   |
      | a step | 60    | 6     | nothing                                                   |
      | a step | 1     | 7     | steps[1], processors_millicores of a task: 7000 of 6000   |
