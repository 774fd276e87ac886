Feature: What shows that the process of a worker has ended
  Only a list that the next process gives of its runs, or the lapse of the leases, shows that the runs
  of a process have ended. A worker that cannot be asked for a moment may be at work.

  Scenario Outline: a worker that cannot be asked counts as silent, not as ended
    A worker refuses connections for a moment while its open ones are reset and its runs go on. If
    they count as ended, each of them is started elsewhere beside the first.

    When a worker is polled that <answers>
    Then the poll has failed and the worker was told no more

    Examples:
      | answers                             |
      | refuses the connection              |
      | answers that it is another process  |

  Scenario: a run goes on while its worker refuses connections
    Guards the whole way from the refused connection to the decision.

    Given a task that runs on one of 2 workers
    When that worker refuses connections for 0.8 s and its run goes on
    Then the run is neither lost nor started elsewhere
    And its job is complete after one start

  Scenario Outline: a list of runs without the start of its process is a failed poll
    It doesn't tell which process gave it, so nothing may be concluded from what it lacks.

    When a worker answers a poll with a list <described>
    Then the poll has failed and the worker was told no more

    Examples:
      | described              |
      | without "born"         |
      | whose "born" is 0      |
      | whose "born" is null   |
      | whose "born" is 5.0    |
      | whose "born" is "5"    |
      | whose "born" is true   |

  Scenario Outline: an entry without the start of its process is malformed
    It names no worker. Any other error of the parser would be logged as a fault of the product.

    When an entry <described> is parsed
    Then it is malformed

    Examples:
      | described              |
      | without "born"         |
      | whose "born" is 0      |
      | whose "born" is null   |
      | whose "born" is 5.0    |
      | whose "born" is "5"    |
      | whose "born" is true   |

  Scenario: an entry without the start of its process names no worker and ends no run
    Such an entry comes from another writer. If it is read as one of another process, all runs of the
    worker are started elsewhere beside the first.

    Given a task that runs on one of 2 workers
    When the entry of that worker is replaced by one without "born"
    Then the worker is not in the directory and has lost no run
    When its entry is written again as it was
    Then the worker is in the directory and has lost no run
    And its job is complete after one start

  Scenario: a start that another process refuses ends no other run
    Another process at the address says nothing about the one that runs the tasks of the worker.

    Given a task that runs on one of 2 workers
    When another process at the address of that worker refuses a further start
    Then the run is neither lost nor started elsewhere
