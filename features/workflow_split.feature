Feature: Several schedulers at the same time
  A scheduler that is cut off from the journal may act for a while beside its successor. What it
  believes about the workers that it does not reach is then decided by the successor. The workers
  judge: a task runs twice if another run of it is active on any worker, or if its end as done was
  acknowledged or is in the journal. All times are virtual.

  Scenario Outline: a superseded scheduler does not start runs again that its successor keeps alive
    The lease of a silent worker counts from the renewals of all tenures, not only from its own.

    Given tasks that work for <seconds> s
    When <cut>, for 6 to 12.5 s
    Then no task runs twice and all jobs end

    Examples:
      | seconds | cut                                                       |
      | 8       | everything is cut at once                                 |
      | 8       | the workers are cut 0.4 s before the journal              |
      | 8       | the workers are cut 2.5 s before the journal              |
      | 8       | the journal is cut 0.4 s before the workers               |
      | 8       | the journal is cut 2.5 s before the workers               |
      | 8       | the main partition of the journal is cut with the workers |
      | 20      | everything is cut at once                                 |
      | 20      | the workers are cut 0.4 s before the journal              |
      | 20      | the workers are cut 2.5 s before the journal              |
      | 20      | the journal is cut 0.4 s before the workers               |
      | 20      | the journal is cut 2.5 s before the workers               |
      | 20      | the main partition of the journal is cut with the workers |

  Scenario Outline: a superseded scheduler does not start tasks again that have ended elsewhere
    Guards the same if the run that it takes for lost has ended as done at its successor.

    Given tasks that work for <seconds> s
    When <cut>, for 6 to 12.5 s
    Then the successor has acknowledged the ends during the cut
    And no task runs twice and all jobs end

    Examples:
      | seconds | cut                                          |
      | 3       | everything is cut at once                    |
      | 4       | the workers are cut 0.4 s before the journal |
      | 4       | the workers are cut 2.5 s before the journal |

  Scenario Outline: the wait for inherited runs proves nothing to a superseded scheduler
    It never heard from the worker of the first scheduler, whose run the third one keeps alive.

    Given tasks that work for 20 s
    When a second scheduler is cut off <seconds> s after its start, before it hears from that side
    Then no task runs twice and all jobs end

    Examples:
      | seconds |
      | 3.5     |
      | 4.5     |

  Scenario: a recorded departure proves nothing to a superseded scheduler
    The worker may have come back to the successor before its runs have ended.

    Given tasks that work for 20 s
    When the worker departs, and the third scheduler uses it again while the second is cut off
    Then no task runs twice and all jobs end

  Scenario Outline: a later process of a worker starts no task again that the successor saw done
    A later process knows no epoch, so it answers a superseded scheduler as well.

    Given tasks that work for 1.5 s
    When its worker restarts after the successor has noted the end, and the old one <learns>
    Then no task runs twice and all jobs end

    Examples:
      | learns                                        |
      | reads its list and reaches no other worker    |
      | reads its list and reaches other workers      |
      | reads its list and has read none with the run |
      | reads the directory and reaches other workers |

  Scenario: a superseded scheduler starts no waiting task on a worker that has just restarted
    The successor may have started it after the report of the earlier process.

    Given tasks that work for 8 s
    And a task that waits because the only worker that the scheduler reaches is busy
    When the successor starts it elsewhere and another worker restarts and reports to the old one
    Then no task runs twice and all jobs end

  Scenario: a superseded scheduler starts no waiting task on a worker whose restart it cannot know
    The answer to its open poll comes later, and the new process accepts any epoch.

    Given a task that the only worker that the scheduler reaches has refused to start
    When that worker restarts during an open poll, after the successor has started it elsewhere
    Then no task runs twice and all jobs end

  Scenario Outline: a later process of a known worker is used only after a further confirmation
    The earlier confirmation only proves that no successor had begun when it was sent; one may have
    begun since, and have heard from the earlier process.

    Given a scheduler with a waiting task whose worker has reported and was confirmed afterwards
    When a later process of the worker reports <seconds> s after the confirmation
    Then the task is started only after a confirmation that was sent since that report

    Examples:
      | seconds |
      | 0.1     |
      | 0.6     |

  Scenario Outline: an empty list of a restarted worker does not prove that earlier runs are known
    A successor may have noted the end of a run that the earlier process held.

    Given a second scheduler that has heard from one of two workers that the first one used
    When the other one, which has restarted, reports an empty list <seconds> s later
    Then the task is started only after a confirmation that was sent since that report

    Examples:
      | seconds |
      | 0.1     |
      | 0.6     |

  Scenario: a gang with a missing run is not started in part before a confirmation
    Its other members, which have been stopped, need none, but alone they occupy workers in vain.

    Given a gang of two whose members run on two workers, without a successor
    When one of the workers restarts while the journal is silent for 0.6 s
    Then all runs of the gang began together, after a confirmation, and the jobs end

  Scenario Outline: no random history lets a task run twice or holds a job for ever
    Guards what no other scenario names, in histories of cuts, restarts and failures.

    When 60 random histories pass in which a scheduler may start runs for <seconds> s
    Then no task runs twice and all jobs end

    Examples:
      | seconds |
      | 6       |
      | 1       |

  Scenario Outline: the runs of a worker that is really gone are started again in time
    Waiting for a confirmation may cost one renewal interval, not more.

    Given a task whose worker answers polls after <poll> s, without any cut
    When the worker is silent for good
    Then the task is started elsewhere within 7 s and one renewal interval

    Examples:
      | poll |
      | 0    |
      | 1.5  |

  Scenario: the run of a worker that has restarted is started again in time
    Guards the same for a loss that a later process shows.

    Given a task whose worker answers polls after 0 s, without any cut
    When the worker restarts and reports
    Then the task is started again within 0.1 s and one renewal interval
