Feature: Scheduler election of a failure domain
  Each worker grants its lease to one candidate at a time. A candidate may act as scheduler only
  while it holds the leases of more than half of the known workers.

  Scenario: a domain never has two schedulers under random faults
    When candidates pause, restart and lose workers, messages and the log in 100 generated runs
    Then no two candidates may act at the same time and each run ends with one scheduler

  Scenario Outline: another candidate takes over soon after the death of the scheduler
    Until then, no task of the domain is started.
    When the scheduler of <candidates> candidates dies <deaths> times in 10 runs
    Then another candidate acts within 10 seconds each time

    Examples:
      | candidates | deaths |
      | 2          | 1      |
      | 3          | 2      |

  Scenario: a scheduler that loses half of the workers stops acting
    If half of the workers were enough, two candidates could act at the same time.
    When 3 of 6 workers die under a scheduler
    Then no candidate may act until the workers are back

  Scenario: a successor needs a majority of the extended worker set
    A majority of an outdated worker set may have no worker in common with one of the present set.
    When the scheduler adds 8 workers one at a time and then pauses
    Then its successor knows all 13 workers and holds more than half of them

  Scenario: a candidate reads the known workers again after it has a majority
    The previous scheduler may add workers until it loses its majority. A candidate that read the
    known workers before does not know the latest ones.
    When a candidate has a majority but read the known workers before it had one
    Then it acts only after it has read them again

  Scenario: the worker set changes by one worker at a time
    If it changed by several workers at once, a majority of the old set and one of the new set might
    have no worker in common.
    When five new workers are listed, a known one is gone and a change is pending or not
    Then at most one change is planned and a gone worker is removed after the task lease

  Scenario: a lease that is granted after its release is released again
    A claim in flight during a release may be granted afterwards. The lease would be held without
    being used.
    When a lease is granted that was released while its claim was in flight
    Then the table requests its release and does not count it as held

  Scenario: recovery waits for a worker that does not report
    An unreachable worker may still run attempts that the new scheduler does not know. If it starts
    their tasks at once, they run twice.
    When a scheduler begins its tenure with one of three workers unreachable
    Then this worker blocks recovery for the task lease plus margin, the others until they report

  Scenario: a released lease is claimed again only after its duration
    A late release could otherwise end the next lease of the holder, which would not notice it.
    When a lease is released, forgotten by the table or not, and tracked again at once
    Then it is claimed again only after its duration has passed

  Scenario: a released lease that a delayed claim renews is left to lapse
    The holder could otherwise renew the released lease again and again.
    When a released lease was renewed by a claim that was delayed
    Then the holder does not act and lets it lapse before it claims again

  Scenario: renewals are spread over the interval
    When a table renews the leases of 1000 workers for 20 seconds
    Then every lease stays held and no tenth of a second has more than 200 renewals

  Scenario: the duration of a lease counts from before its renewal was sent
    When a renewal takes 3 seconds of a lease of 5 seconds
    Then the holder may act for 1.75 seconds more and an older answer changes nothing
