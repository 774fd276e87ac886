Feature: Start of the daemon on the platform

  Scenario: a change of settings is signalled while the daemon starts
    Guards against a process that ends because the signal comes before its handler is installed.

    Given a daemon on the platform that is importing its libraries
    When it gets SIGHUP 5 times within 0.2 s
    Then it becomes ready
    And it still handles SIGHUP
