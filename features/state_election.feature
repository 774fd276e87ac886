Feature: Scheduler of a failure domain
  Workers arbitrate their leases; a candidate may act only with more than half of the known workers.

  Scenario: generated faults, guarding against two schedulers of one domain
    When candidates pause, restart and lose workers, messages and the log in 100 generated runs
    Then never two candidates may act at one time and each run ends with one scheduler

  Scenario Outline: take-over after a death, guarding against work without a decider
    When the scheduler of <candidates> candidates dies <deaths> times in 10 runs
    Then another candidate acts within 10 seconds each time

    Examples:
      | candidates | deaths |
      | 2          | 1      |
      | 3          | 2      |

  Scenario: half of the workers lost, guarding against a scheduler without a majority
    When 3 of 6 workers die under a scheduler
    Then no candidate may act until the workers are back

  Scenario: a new worker set, guarding against a majority of an outdated set
    When the scheduler adds 8 workers one at a time and then pauses
    Then its successor knows all 13 workers and holds more than half of them

  Scenario: knowledge from before the majority, guarding against workers that are not known
    When a candidate has a majority but read the known workers before it had one
    Then it acts only after it has read them again

  Scenario: changes of the worker set, guarding against majorities without a common worker
    When five new workers are listed, a known one is gone and a change is pending or not
    Then at most one change is planned and a gone worker is removed after the task lease

  Scenario: a claim granted after a release, guarding against a lease that nobody uses
    When a lease is granted that was released while the claim was on its way
    Then the table asks to release it and does not count it as held

  Scenario: recovery of knowledge, guarding against a second run of an unreported attempt
    When a scheduler begins its tenure with one of three workers unreachable
    Then this worker blocks for the task lease plus margin and the others only until they report

  Scenario: a released lease, guarding against a release that ends the next lease unnoticed
    When a lease is released, forgotten or not, and wanted again at once
    Then it is claimed again only after its length has passed

  Scenario: a delayed claim renews a released lease, guarding against renewing it for ever
    When a released lease was renewed by a claim that was delayed
    Then the holder does not act and lets it lapse before it claims again

  Scenario: renewals are spread over the interval
    When a table renews the leases of 1000 workers for 20 seconds
    Then every lease stays held and no tenth of a second has more than 200 renewals

  Scenario: a lease counts from before the renewal was sent
    When a renewal takes 3 seconds of a lease of 5 seconds
    Then the holder may act for 1.75 seconds more and an older answer changes nothing
