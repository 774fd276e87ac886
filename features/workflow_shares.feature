Feature: What a team sends beyond its weight does not displace the work of others
  Jobs within the weight of their team are owed, the others are excess. Service is the value of a
  team's jobs: 1 within the objective, 0.2 within three times the objective, 0 later. All times are
  virtual. Each load is replayed with the weights and with the previous order, in which all jobs are
  owed.

  Scenario Outline: one large team sends seven times its usual load while all workers are full
    Guards against service by slack alone, where the jobs of one team take the places of all others.
    Its usual load is three times that of each other team.

    Given 20 teams whose usual load takes 85 in 100 of the workers
    When one team sends seven times its usual load for 6 s, <case>
    Then the owed jobs of the other teams get at least <percent> in 100 of their value
    And the other teams, and the worst-served two of them, get more than in the previous order
    And the jobs of the team that ended are more than it sends usually

    Examples:
      | case                                        | percent |
      | and nothing else happens                    | 98      |
      | and the scheduler is replaced in the middle | 97      |

  Scenario: one of 20 teams sends only wide gangs, beyond its weight
    Guards against reservations of excess gangs that keep capacity from others. The team is owed half
    a gang per second, which takes as much of the workers as its usual load.

    Given 20 teams whose usual load takes 85 in 100 of the workers
    When one team sends three gangs per second for 6 s in place of its usual load
    Then the owed jobs of the other teams get at least 98 in 100 of their value
    And the other teams, and the worst-served two of them, get more than in the previous order

  Scenario: all teams send 2.5 times their usual load of urgent jobs
    Guards against classes that serve an overload of all teams worse than the previous order.

    Given 20 teams whose usual load takes 85 in 100 of the workers
    When all teams send 2.5 times their usual load of urgent jobs for 4 s
    Then all teams together get at least 90 in 100 of the service of the previous order

  Scenario: excess jobs use idle workers
    Given 20 teams, of which 19 send nothing
    When one team sends seven times its usual load for 6 s, and nothing else happens
    Then each of its jobs ends within its objective

  Scenario: the class of a job depends only on the acceptance times
    Guards against classes that change with the order in which a scheduler reads the acceptances.

    Given 200 acceptances of a team of weight 20, at 70 per second for 2 s and then at 10 per second
    Then a scheduler that reads them all at once, in any order, finds the same classes as one that reads each at its time
    And one that reads them up to 0.3 s late and out of order never changes a class
    And finds as many owed jobs, up to 3, and never more than the weight allows
    And a scheduler that knows only the last 5 s finds the classes of the last 2 s, up to 3 jobs

  Scenario: an acceptance that is read 4 s late is owed if the team has sent less than its weight
    Given 9 acceptances of a team of weight 3, one per second
    When the fourth one is read after the eighth
    Then all of them are owed

  Scenario Outline: teams at the limits of the classes
    A second's worth of jobs may arrive at once, and four jobs of a small team.

    When a team with weight <weight> sends 7 jobs at once
    Then <count> of them are owed

    Examples:
      | weight  | count   |
      | 0       | 0       |
      | 0.1     | 4       |
      | 3       | 4       |
      | 6       | 6       |
      | unknown | 7       |

  Scenario: excess steps send no long approval requests while an owed step waits for one
    Given a world with one VM for long approval requests, and excess steps that wait for approval
    When an owed step arrives
    Then the next request is that of the owed step

  Scenario Outline: excess work waits for owed work that can still end in time
    Guards against excess urgent jobs, which have the least slack, ahead of owed work with more.

    Given a worker with one busy processor, an owed job with an objective of 15 s that <state>
    When an excess job with an objective of 1.6 s arrives before the processor is free
    Then the <first> job starts first

    Examples:
      | state                                    | first  |
      | arrived 5 s ago                          | owed   |
      | is late                                  | owed   |
      | is beyond three times its objective      | excess |

  Scenario Outline: excess urgent jobs leave the places that are kept for owed urgent ones
    Given <count> workers of <cpu> processors, to which owed urgent jobs come steadily
    When excess urgent jobs wait at all times
    Then no owed urgent job waits for its start for more than 0.1 s

    Examples:
      | count | cpu |
      | 6     | 4   |

  Scenario: the reservation of an excess gang keeps no owed work waiting
    Given an excess gang that reserves the next free places
    When owed tasks of 10 s arrive before them
    Then the owed tasks start as soon as a place is free

  Scenario: the reservation of an excess gang keeps no owed gang from reserving places
    Given an excess gang that reserves the next free places
    When an owed gang arrives before them
    Then it reserves places, too

  Scenario: an owed step that found no turn for a long request has the next one
    Guards against excess steps that ask first because the owed one asks again only after a pause.

    Given a world with one VM for long approval requests, and excess steps that wait for approval
    When an owed step finds the VM busy
    Then excess steps have no turn within 0.6 s, even if the VM is free, but 0.8 s later

  Scenario: excess jobs stay excess after a change of scheduler
    Guards against a successor that gives the excess jobs the tokens of owed jobs that have ended,
    whose acceptances are no longer in the journal.

    Given team t with a weight of 2, which sends 30 jobs in 3 s
    When the scheduler is replaced after some of the owed jobs have ended
    Then its successor counts the same of the other jobs as excess
