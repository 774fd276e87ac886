Feature: Entries of other writers in the directory of workers
  Other programs may write entries with missing fields, odd values or an unknown service. They name no worker to
  use, and say nothing about a worker whose id they have.

  Scenario Outline: an odd entry under the id of a worker does not change the worker
    Guards against an odd entry that counts as a restart or a departure, so that running tasks are started a second
    time.

    Given a daemon that uses worker "w-1" and has read a configuration with its service
    When <entry> replaces the entry of "w-1"
    Then the daemon has the earlier entry of "w-1" and places no new runs there
    When the entry of "w-1" is written again with "born" 6
    Then the daemon has "w-1" with incarnation 6
    When <entry> replaces the entry of "w-1"
    And the entry of "w-1" is removed
    Then the daemon has no worker

    Examples:
      | entry                              |
      | an entry of service "inventory"    |
      | an entry without "sequence"        |
      | an entry without "slots"           |
      | an entry without "version"         |
      | an entry without "cold_remaining_ms" |
      | an entry whose "state" is "retired" |
      | an entry whose "slots" is "8"      |
      | 4000 opening brackets              |

  Scenario: an entry with an unknown service is no worker until the service is configured
    Guards against a change of scheduler that waits for an entry of another writer, and against a worker that is not
    used because its entry came before the configuration.

    Given a daemon that uses worker "w-1" and has read a configuration with its service
    When an entry of service "inventory" is written as "w-2"
    Then the daemon has the workers "w-1"
    When a configuration with the service "inventory" only is applied
    Then the daemon has the workers "w-1 w-2"

  Scenario: a daemon that starts after a service was dropped knows its workers from the jobs
    Guards against runs on workers of a dropped service that nobody renews, stops or reports.

    Given a daemon that has read a configuration without the service of "w-1"
    Then the daemon has no worker
    When it reads an accepted job of that service
    Then the daemon has the workers "w-1"

  Scenario: an ignored entry is logged and counted once
    Guards against a log line for each read, or each repetition, of an entry of another writer.

    Given a daemon that uses worker "w-1" and has read a configuration with its service
    When an entry of service "inventory" is written as "w-2" 5 times with rising sequence
    And an entry without "slots" is written as "w-3" 5 times with rising sequence
    Then 1 entry is counted as "unknown service" and 1 as "unreadable"

  Scenario: a running task is not started again because of an odd entry
    Guards against a second run beside the first one while an odd entry stands under the id of its worker.

    Given a task at work on one of two workers whose entries a daemon selects
    When an entry of service "inventory" with a later start stands under the id of that worker for 1.5 s
    Then the task has one run
