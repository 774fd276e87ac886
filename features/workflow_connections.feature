Feature: Connections that go silent
  Open connections may go silent, without a reset, while new ones work. Only a timeout shows it.

  Scenario Outline: one request without an answer shows that the other connections are silent too
    Guards against a lost request for each idle connection, for example a stop order that is repeated
    as many times as there are idle connections.

    Given a server to which a client has <count> idle connections
    When all its connections lose <lost>
    Then 1 of the next 4 requests of the client gets no answer
    When all its connections lose <lost>
    Then 1 of the next 4 requests of the client gets no answer

    Examples:
      | count | lost     |
      | 2     | requests |
      | 12    | requests |
      | 12    | answers  |

  Scenario: a long poll without an answer shows that the idle connections are silent
    Guards against orders that are lost although the polls of the same worker have shown the silence.

    Given a server to which a client has 12 idle connections
    When all its connections lose answers
    And a long poll on the dedicated connection gets no answer
    Then 0 of the next 4 requests of the client gets no answer

  Scenario: connections that answered before a long poll was due are closed with it
    Guards against a second timeout, because an answer from before the silence counts as a sign of life.

    Given a server to which a client has 12 idle connections
    When 11 requests are answered during a long poll, and then all connections lose answers
    Then 0 of the next 4 requests of the client gets no answer

  Scenario: an unanswered request shows that the idle dedicated connection is silent
    Guards against a poll, which renews leases, that waits for its timeout after an order has shown the
    silence.

    Given a server to which a client has 12 idle connections
    When all its connections lose requests
    Then 1 of the next 1 requests of the client gets no answer
    And a request on the dedicated connection gets an answer

  Scenario: a request that its caller gives up shows that the other connections are silent too
    Guards against a reader that limits its reads by itself and never learns from its timeouts.

    Given a server to which a client has 12 idle connections
    When all its connections lose answers
    And a caller gives up a request after 0.5 s
    Then 0 of the next 4 requests of the client gets no answer

  Scenario: connections that have answered since an unanswered request was sent stay open
    Guards against new connections, which are priced, whenever a worker does not answer one order.

    Given a server to which a client has 12 idle connections
    When one request gets no answer while 11 others are answered
    Then the next 11 concurrent requests open no connection

  Scenario Outline: a request that shows nothing about the other connections closes none of them
    Guards against new connections, which are priced, for a long poll that is cancelled in time, or
    for a server that accepts connections but does not answer.

    Given a server to which a client has <count> idle connections
    When <request>
    Then the next 11 concurrent requests open no connection

    Examples:
      | count | request                                      |
      | 12    | a caller cancels a long poll after 0.5 s     |
      | 11    | a request on a new connection gets no answer |

  Scenario: a server that restarts while its connections are silent
    Guards against requests that are lost on the connections of the earlier process.

    Given a server to which a client has 12 idle connections
    When all its connections lose requests
    And the server restarts
    Then 0 of the next 4 requests of the client gets no answer

  Scenario: a request that gets no connection in time is reported as not sent
    Guards against an unknown outcome of a request that was never sent.

    Given a server to which a client has 12 idle connections
    When all its connections lose requests
    And 12 requests use all connections and another one has a timeout of 0.2 s
    Then that request was not sent

  Scenario: idle connections are closed after their keepalive time
    Guards against slow requests to a peer on connections that nothing has shown to work for long.

    Given a server to which a client that keeps connections for 0.2 s has 3 idle connections
    When 0.3 s pass and all its connections lose requests
    Then 0 of the next 4 requests of the client gets no answer
