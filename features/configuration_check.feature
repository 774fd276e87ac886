Feature: Check of a configuration before operators store it
  The command reads files only and calls no VM.

  Scenario: all findings are reported at once
    Guards against a check that stops at the first error or misses an entry that can never be selected.

    Given a valid configuration of the platform with these changes
      | path                          | value                       |
      | version                       | missing                     |
      | routes[0].priority            | "high"                      |
      | routes[0].max_attempts        | 0                           |
      | routes[0].path_prefix         | "/b"                        |
      | routes[1].path_prefix         | "/b/"                       |
      | routes[1].service             | "unlisted"                  |
      | routes[1].advice.validity_ms  | 5                           |
      | routes[2]                     | {"host": "h:80"}            |
      | routes[3].path_prefix         | "/b/"                       |
      | routes[3].service             | "off"                       |
      | tenants[0].weight             | 0                           |
      | tenants[0].cap.cpu            | 500                         |
      | tenants[1].api_keys           | ["key-1", 7]                |
      | tenants[2].api_keys           | []                          |
      | tenants[2].name               | "austral"                   |
    When the configuration is checked
    Then the exit status of the check is 20 and exactly these findings are reported
      | path                         | severity |
      | version                      | error    |
      | routes[0].priority           | error    |
      | routes[0].max_attempts       | error    |
      | routes[2].name               | error    |
      | routes[2].host               | error    |
      | routes[2].path_prefix        | error    |
      | routes[2].service            | error    |
      | routes[3].path_prefix        | error    |
      | tenants[0].api_keys[0]       | error    |
      | tenants[1].api_keys[0]       | error    |
      | tenants[1].api_keys[1]       | error    |
      | tenants[2].name              | error    |
      | routes[0].path_prefix        | warning  |
      | routes[1].advice.validity_ms | warning  |
      | routes[1].service            | warning  |
      | routes[3].service            | warning  |
      | tenants[0].cap.cpu           | warning  |
      | tenants[0].weight            | warning  |
      | tenants[2].api_keys          | warning  |

  Scenario: warnings alone do not fail the check, and a longer prefix hides no shorter one
    Guards against an exit status that blocks a configuration that works.

    Given a valid configuration of the platform with these changes
      | path                  | value |
      | routes[0].path_prefix | "/"   |
      | tenants[0].weight     | 0     |
    When the configuration is checked
    Then the exit status of the check is 0 and exactly these findings are reported
      | path              | severity |
      | tenants[0].weight | warning  |

  Scenario: differences from the version in force
    Guards against a version that VMs ignore because its number does not rise, and against unseen changes.

    Given a valid configuration of the platform with these changes
      | path                | value              |
      | routes[0].priority  | 7                  |
      | routes[2]           | missing            |
      | tenants[0].api_keys | ["key-8", "key-9"] |
    When the configuration is checked against the valid one
    Then the exit status of the check is 20 and exactly these findings are reported
      | path    | severity |
      | version | error    |
    And exactly these differences are reported
      | path                      | current  | new                             |
      | routes[a].priority        | 1        | 7                               |
      | routes[c]                 | present  | removed                         |
      | tenants[austral].api_keys | keys: 1  | keys: 2, added: 2, removed: 1   |

  Scenario: odd values in every place
    Guards against a check that accepts what a VM refuses or ignores, fails on a malformed value, or prints a key,
    also one in the wrong place.

    When an odd value or a key replaces each value of a valid configuration in turn
    Then a VM reads every configuration without errors completely, and no key is printed
