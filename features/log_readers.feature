Feature: Readers of the log
  Each call of a reader may be rejected, get no answer, be cut off, return few records, find that the
  records have expired, answer late, or be cancelled. Afterwards, the reader must know the newest record
  of each key.

  Scenario Outline: a reader knows the newest record of each key after calls have failed
    Guards against a position that advances past a record whose value is not kept, so that the reader
    never learns of it.

    When the <reader> reads a log with faults for seeds <first> to <last>
    Then it knew the newest record of each key in the end for every seed
    And it never returned to an older record of a key

    Examples:
      | reader        | first | last |
      | configuration | 0     | 399  |
      | directory     | 0     | 399  |
      | journal       | 0     | 399  |

  Scenario Outline: the second read of a configuration fails after the first one has returned it
    Guards against a version that is lost until the next one, so that an added queue is unknown and a
    removed one is still served.

    Given a store with a new configuration, which is followed by a record of <other>
    When the second read of the configuration ends with "<result>" and the later ones succeed
    Then the new configuration is returned by one of the next 2 calls

    Examples:
      | other         | result             |
      | upkeep        | status 429         |
      | upkeep        | status 503         |
      | upkeep        | no answer          |
      | upkeep        | connection reset   |
      | upkeep        | cut off            |
      | upkeep        | expired            |
      | upkeep        | cancelled          |
      | configuration | status 503         |
      | configuration | cut off            |
      | configuration | cancelled          |

  Scenario: the newest configuration is malformed
    Guards against a valid version that is dropped because a malformed one was read together with it.

    Given a store with a new configuration, which is followed by a malformed one
    When the configuration is read
    Then the new configuration is returned by one of the next 2 calls

  Scenario: a malformed configuration lies between two new ones
    Guards against a reader that stops at a version that it cannot parse.

    Given a store with a malformed configuration between two new ones
    When the configuration is read
    Then the new configuration is returned by one of the next 2 calls

  Scenario: an answer promises records and contains none
    Guards against a reader that continues at the promised end.

    Given a store whose next read of the directory is cut off before the first record
    When the directory is polled 2 times
    Then it has the worker of that record

  Scenario Outline: an answer for a stream of fireflywharfd lacks records
    Guards against a reader that continues behind records that the answer lacks.

    When a stream has 5 records and an answer contains <answered>, with the end <end>
    Then the reader continues at <next> and is <state>
    And it knows all records after an answer with all of them

    Examples:
      | answered | end | next | state          |
      | none     | 5   | 0    | not at the end |
      | 0 1      | 5   | 2    | not at the end |
      | 0 1 3 4  | 5   | 0    | not at the end |
      | none     | 0   | 0    | at the end     |
