Feature: Keys of teams
  Each VM decides from the latest configuration that it has read, and from its age, whether the key of a call
  proves a team. Time is virtual: the boot clock of the VM advances only where a scenario says so.

  Scenario Outline: checks run in a fixed order
    Guards against a caller without a key who learns from an answer more than that the key is missing, and
    against a body that is read for a caller without a key.

    Given a VM that requires keys and has <read> the keys "k1 of austral"
    Then a POST to "<path>" with the header "<header>" and an unreadable body gets <status>

    Examples:
      | read     | path     | header    | status |
      | not read | /nowhere | none      | 503    |
      | read     | /nowhere | none      | 404    |
      | read     | /jobs/   | none      | 401    |
      | read     | /jobs/   | Basic k1  | 401    |
      | read     | /jobs/   | Bearer k2 | 401    |
      | read     | /jobs/   | Bearer    | 401    |
      | read     | /jobs/   | Bearer k1 | 400    |
      | read     | /jobs/   | bearer k1 | 400    |
      | read     | /public/ | none      | 400    |

  Scenario: a deployment without teams accepts calls without keys
    Guards against checks that take effect where no configuration has teams: the VM has not reached the store
    for an hour.

    Given a VM without teams that has read version 1
    When the boot clock of the VM advances by 3600 s
    Then a call without a key gets 200
    And the VM is ready

  Scenario: a VM is cut off from the store while a key is revoked
    Guards against a revoked key that is accepted later than the bound, and against a VM that rejects calls
    before the bound.

    Given a VM that requires keys and has read the keys "k1 of austral, k2 of boreal"
    When the store does not answer and version 2 has the keys "k2 of boreal"
    And the VM reads the configuration and 4.9 s pass
    Then calls with "k1" and "k2" get 200 and 200
    When the boot clock of the VM advances by 0.2 s
    Then calls with "k1" and "k2" get 503 and 503
    And the VM is not ready
    When the store answers and the VM reads the configuration
    Then calls with "k1" and "k2" get 401 and 200
    And the VM is ready

  Scenario: without strict revocation a VM that is cut off serves its callers
    Guards against calls that are rejected during an outage of the store without need.

    Given a VM that requires keys without strict revocation and has read the keys "k1 of austral"
    When the boot clock of the VM advances by 60 s
    Then calls with "k1" and "k2" get 200 and 503
    And the VM is ready

  Scenario: an unknown key may be new
    Guards against 401 for a valid key that was added after the latest read.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When the store does not answer and version 2 has the keys "k1 of austral, k2 of boreal"
    And the boot clock of the VM advances by 3.9 s
    Then calls with "k1" and "k2" get 200 and 401
    When the boot clock of the VM advances by 0.2 s
    Then calls with "k1" and "k2" get 200 and 503
    And a call to an unknown queue gets 503

  Scenario: a VM is suspended beyond the bound while a request waits in its socket
    Guards against a clock that stands still while the VM is suspended, and against the answer to a read from
    before the suspension that counts as new.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When the VM is suspended for 7 s after the store answered a read, and version 2 revokes all keys meanwhile
    Then the call with "k1" that waited got 503
    And a call with "k1" gets 503
    When the VM reads the configuration
    Then a call with "k1" gets 401
    And this read was not held

  Scenario: a VM is started during an outage of the store
    Guards against keys that are accepted or refused before a configuration was read.

    Given a VM that requires keys and has not read the keys "k1 of austral"
    When the store does not answer
    And the VM reads the configuration
    Then calls with "k1" and "k2" get 503 and 503
    And the VM is not ready
    When the store answers and the VM reads the configuration
    Then calls with "k1" and "k2" get 200 and 401

  Scenario: a read after an outage is not held
    Guards against a VM that rejects calls for as long as the store holds its first read after an outage,
    although the store answers.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When the store does not answer
    And the VM reads the configuration and 9 s pass
    Then a call with "k1" gets 503
    When the store answers and the VM reads the configuration
    Then this read was not held
    And a call with "k1" gets 200

  Scenario: a held read that finds nothing new counts from when it was sent
    Guards against an age that starts with the answer: a version that is stored after the store looked is then
    accepted for as long as the read was held.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When the VM reads the configuration
    Then this read was held for 1.2 s and the configuration is 1.2 s old
    When the boot clock of the VM advances by 3.9 s
    Then a call with "k1" gets 503

  Scenario Outline: a read that leaves the newest version unread does not count
    Guards against a VM whose reads succeed, and which therefore takes an outdated configuration for the newest.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When the store <fault> and version 2 revokes all keys
    And the boot clock of the VM advances by 4 s
    And the VM reads the configuration
    And the boot clock of the VM advances by 1.2 s
    Then a call with "k1" gets 503
    When the store answers and the VM reads the configuration
    Then a call with "k1" gets 401

    Examples:
      | fault                       |
      | truncates reads             |
      | rejects reads               |
      | loses the end of its topics |

  Scenario Outline: a version that cannot be used does not count as read
    Guards against a revoked key that is accepted because the version that revokes it is malformed.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When a version with <value> is stored
    And the boot clock of the VM advances by 4 s
    And the VM reads the configuration
    And the boot clock of the VM advances by 1.2 s
    Then a call with "k1" gets 503
    When the VM reads the configuration
    Then this read was held for 1.2 s and the configuration is 6.4 s old
    When version 3 revokes all keys
    And the VM reads the configuration
    Then a call with "k1" gets 401

    Examples:
      | value                            |
      | "routes": [7], "tenants": []     |
      | "routes": [], "tenants": {"k": 1} |

  Scenario Outline: a key is removed and added in quick succession
    Guards against a VM that skips versions and ends with the keys of one that is not the newest.

    Given a VM that requires keys and has read the keys "k1 of austral"
    When versions with the keys "<second>" and then "<third>" are stored at once
    And the VM reads the configuration
    And the VM reads the configuration
    Then a call with "k1" gets <status>

    Examples:
      | second        | third         | status |
      | k2 of boreal  | k1 of austral | 200    |
      | k1 of austral | k2 of boreal  | 401    |
      | k1 of austral | k1 of boreal  | 200    |

  Scenario: a malformed team does not affect the others
    Guards against one mistake that locks out all teams, and against a key that is used by two teams.

    Given a VM that requires keys and has not read the keys "k1 of austral"
    When a version is stored with these teams
      | team                                                            |
      | {"name": "austral", "api_keys": ["k1", "shared"], "weight": 2}  |
      | {"name": "boreal", "api_keys": "k2"}                            |
      | {"name": "boreal", "api_keys": ["k2", 7]}                       |
      | {"name": "centro", "api_keys": ["k3"], "weight": "k3"}          |
      | {"name": "centro", "api_keys": ["k3"], "cap": {"cpu": -1}}      |
      | {"name": "austral", "api_keys": ["k4"]}                         |
      | ["k5"]                                                          |
      | {"api_keys": ["k5"]}                                            |
      | {"name": "delta", "api_keys": ["k6", "shared"], "cap": {"cpu": 0.5, "gpu": 0}} |
    And the VM reads the configuration
    Then calls with "k1" and "k6" get 200 and 200
    And calls with "k2" and "k3" get 401 and 401
    And calls with "k4" and "k5" get 401 and 401
    And calls with "shared" and "['k5']" get 401 and 401
    And the teams are "austral, delta" and each malformed team has a warning with its index
    And the quota of "delta" is 1 millicore

  Scenario: a team sees only its own jobs
    Guards against a team that reads, cancels or takes over the job of another team.

    Given a VM that requires keys and has read the keys "k1 of austral, k2 of boreal"
    When a caller with "k1" submits a job
    Then these calls get these answers
      | key  | queue  | method | status |
      | k1   | jobs   | GET    | 200    |
      | k2   | jobs   | GET    | 410    |
      | none | public | GET    | 410    |
      | k2   | jobs   | DELETE | 410    |
      | none | public | DELETE | 410    |
      | k2   | jobs   | POST   | 409    |
      | none | public | POST   | 409    |
      | k1   | jobs   | POST   | 200    |
      | k1   | jobs   | DELETE | 200    |
    And the journal has the job with the team "austral"

  Scenario Outline: a job without a team is open to all valid callers
    Guards against jobs that nobody can cancel after keys were introduced.

    Given a VM that requires keys and has read the keys "k1 of austral, k2 of boreal"
    When a job is stored <origin>
    Then these calls get these answers
      | key  | queue  | method | status |
      | k1   | jobs   | GET    | 200    |
      | k2   | jobs   | POST   | 200    |
      | none | jobs   | GET    | 401    |
      | k2   | jobs   | DELETE | 200    |

    Examples:
      | origin                  |
      | before there were teams |
      | through a public queue  |

  Scenario: a VM that has read only the progress of a job knows its team
    Guards against jobs that another team can read at VMs that did not accept them.

    Given a VM that requires keys and has read the keys "k1 of austral, k2 of boreal"
    When another VM accepted a job of "austral" and this VM reads only its progress
    Then these calls get these answers
      | key | queue | method | status |
      | k2  | jobs  | GET    | 410    |
      | k2  | jobs  | POST   | 409    |
      | k1  | jobs  | GET    | 200    |
    When the acceptance of the same id by "boreal" is read late
    Then these calls get these answers
      | key | queue | method | status |
      | k2  | jobs  | GET    | 410    |

  Scenario: a team is removed while its jobs wait
    Guards against jobs that end, or lose their team, with the team's entry in the configuration.

    Given a VM that requires keys and has read the keys "k1 of austral, k2 of boreal"
    When a caller with "k1" submits a job
    And version 2 has the keys "k2 of boreal"
    And the VM reads the configuration
    Then these calls get these answers
      | key | queue | method | status |
      | k1  | jobs  | GET    | 401    |
      | k2  | jobs  | GET    | 410    |
    And the journal has the job with the team "austral"
    And 1 job is pending for a caller with "k2"
    When version 3 has the keys "k2 of boreal, k3 of austral"
    And the VM reads the configuration
    Then these calls get these answers
      | key | queue | method | status |
      | k3  | jobs  | GET    | 200    |

  Scenario: no key is written anywhere
    Guards against keys in log lines, metric labels, errors, journal records and representations. The
    configuration has the keys in valid and in malformed places.

    Given a VM that requires keys and has read the keys "KEY-1 of austral"
    When versions with malformed teams that contain "KEY-2" are read
    And calls are made with "KEY-1", "KEY-2" and "KEY-3" in the header, well-formed or not
    And malformed requests with "KEY-4" in their heads reach the server
    And the store sends a malformed answer that contains "KEY-5"
    Then no log line, metric, answer, journal record or representation contains "KEY-"

  Scenario: the settings of the key check
    Guards against a misspelt setting that turns strict revocation off unnoticed.

    Then these settings give these values or name the wrong field
      | settings                                            | requires keys | bound  |
      | {}                                                  | no            | none   |
      | {"contracts": ["tenants"]}                          | yes           | none   |
      | {"contracts": ["other"]}                            | no            | none   |
      | {"bounds": {"strict_revocation": true}}             | no            | 5.0    |
      | {"bounds": {"strict_revocation": true, "revoke_ms": 900}} | no      | 0.9    |
      | {"bounds": {"strict_revocation": false}}            | no            | none   |
      | {"bounds": {"strict_revocation": "yes"}}            | error         | bounds.strict_revocation |
      | {"contracts": "tenants"}                            | error         | contracts |
