Feature: Acknowledgements reach only the process that reported the ends
  A worker forgets the ends up to the number that it is told. A process that starts under the id of an
  earlier one counts its ends from 1, so a number of the earlier one makes it forget ends that nobody
  has read, and their tasks are started again.

  Scenario: an acknowledgement is not repeated before the same process has reported again
    After a poll that failed, nobody knows which process will get the next one.

    Given a session with a worker whose first report has 2 ends
    When the next poll fails and then the same process reports its ends again
    Then the polls acknowledge "0 2 0 2"

  Scenario Outline: an acknowledgement is never repeated to the next process of a worker
    Guards the same if a new process answers after the silence, with or without ends of its own.

    Given a session with a worker whose first report has 2 ends
    When the next poll fails and then a new process reports <count> ends
    Then the polls acknowledge "<numbers>"

    Examples:
      | count | numbers |
      | 0     | 0 2 0 0 |
      | 1     | 0 2 0 1 |

  Scenario: ends that become durable after a restart are not acknowledged to the next process
    The directory may show the next process while the ends of the earlier one are being recorded.

    Given a session with a worker whose first report has 2 ends
    When the directory shows a new process while they are recorded, which then reports no ends
    Then the polls acknowledge "0 0 0"

  Scenario: an acknowledgement does not follow another worker to a new process at the same address
    The entry of a worker that has crashed may stay in the directory beside that of its successor.

    Given a worker that reports 2 ends over its first connection
    When it closes that connection and another worker at its address is polled before it
    Then no poll that the new process gets acknowledges ends

  Scenario Outline: a poll that acknowledges ends does not reach a new process at the same address
    A client that opens a new connection unasked sends the poll to whatever process listens now.

    Given a worker that reports 2 ends over its first connection
    When it closes that connection <time> and a new process answers all others
    Then the first poll that the new process gets acknowledges nothing

    Examples:
      | time                            |
      | after its report                |
      | when the next poll has arrived  |

  Scenario: ends are acknowledged although their worker closed the connection of its report
    Guards against ends that are kept and sent for ever, as the same process answers on a new one.

    Given a worker that reports 2 ends over its first connection
    When it closes that connection after its report and the same process answers all others
    Then a later poll acknowledges the 2 ends
