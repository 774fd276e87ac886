Feature: Malformed input from the platform
  Entries, records and answers come from other programs. One that cannot be read is logged and left
  out. It ends no process or loop, and the others keep their effect.

  Scenario Outline: an entry that cannot be read hides no other entry of the directory
    If the error leaves the reading of the directory, the daemon reads the same entry again and again.
    A scheduler that takes over then has no worker and starts nothing.

    Given a directory with a readable entry and <entry>
    When the directory is read
    Then it has only the readable entry
    When a further readable entry is added
    Then the directory has both readable entries

    Examples:
      | entry                                                      |
      | 4000 opening brackets                                      |
      | an entry whose "version" is nested 4000 deep               |
      | an entry without "born"                                    |
      | an entry without "service"                                 |
      | an entry without "address"                                 |
      | an entry without "zone"                                    |
      | an entry without "version"                                 |
      | an entry without "slots"                                   |
      | an entry without "state"                                   |
      | an entry without "cold_remaining_ms"                       |
      | an entry without "sequence"                                |
      | an entry without "capacity"                                |
      | an entry without "labels"                                  |
      | an entry whose "version" is 1                              |
      | an entry whose "slots" is -1                               |
      | an entry whose "slots" is null                             |
      | an entry whose "sequence" is 1.5                           |
      | an entry whose "cold_remaining_ms" is "0"                  |
      | an entry whose "state" is "retired"                        |
      | an entry whose "born" is 0                                 |
      | an entry whose "born" is null                              |
      | an entry whose "born" is 5.0                               |
      | an entry whose "born" is 1e400                             |
      | an entry whose "born" is 1e300                             |
      | an entry whose "born" is "5"                               |
      | an entry whose "born" is true                              |
      | an entry whose "capacity" is {"cpu": 1e300}                |
      | an entry whose "capacity" is [16000]                       |
      | an entry whose "address" is "127.0.0.1:65536"              |
      | an entry whose "address" is "127.0.0.1:0"                  |
      | an entry whose "address" is "127.0.0.1:²"                  |
      | an entry whose "address" is "worker:7000"                  |
      | an entry whose "address" is 7000                           |
      | an entry whose "labels" is "ab"                            |
      | an entry whose "labels" is {"a": 1}                        |
      | an entry whose "zone" is null                              |
      | an entry whose "state" is ["ready"]                        |
      | an entry whose id has a line break                         |
      | an entry that raises an error that its parser cannot raise |

  Scenario Outline: a version of the configuration that cannot be read does not hide the next one
    Given the configuration of version 1 was read
    When a version with <value> is written and then version 3
    Then the daemon keeps version 1 and then gets version 3

    Examples:
      | value                              |
      | 4000 opening brackets              |
      | a "version" of 1e400               |
      | a "routes" of [[[]]]               |
      | a "limits" of {"max_body_bytes":-} |

  Scenario Outline: a submission that cannot be read is rejected as invalid
    An error that the parser does not foresee would be answered with status 500 and be repeated.

    When a caller submits a job with <value>
    Then it is malformed

    Examples:
      | value                               |
      | 4000 opening brackets               |
      | a "first_ms" of 1e300               |
      | a "times" of 1000000000             |
      | a "steps" of [{"count": 1e300}]     |
      | a "steps" of [{"count":1,"cpu":1e300}] |

  Scenario: a journal record that cannot be applied does not block the records after it
    The reader would read the same record again after its restart, and never the next one.

    Given a journal with a record that raises an error when it is applied
    When the journal is read
    Then the record after it was applied

  Scenario Outline: an odd clock in an answer of a worker does not end the polls
    The reading is used in the next request. If that raises an error, the worker is never asked again.

    When a worker answers a poll with a clock of <clock_ms> and is polled again
    Then the second poll was sent

    Examples:
      | clock_ms  |
      | 1e300     |
      | -5        |
      | true      |
      | "soon"    |

  Scenario: an end of a task that its job does not have changes nothing
    A bit set with a task too many is never equal to that of a finished step.

    Given a job of 2 tasks on one worker
    When the worker reports an end of its task 7 and of a task of its occurrence 3
    Then the job is complete after its 2 tasks

  Scenario Outline: a document that is nested too deeply is reported and raises no other error
    Guards the daemon's own clients and the command line.

    When <reader> reads a document that is nested 4000 deep
    Then it reports that the document is malformed

    Examples:
      | reader                             |
      | a client of a platform service     |
      | a client of another daemon         |
      | the codec of the log               |
      | the command line                   |

  Scenario: random changes of valid input raise no unforeseen error
    Given valid entries, configurations, submissions and reports
    When each is read with 600 random changes, seed 26
    Then each was read or rejected as malformed, and the scheduler decided with what was read
