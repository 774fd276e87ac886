Feature: Settings of the daemon
  Operators see all errors together. A daemon with invalid settings must not start.

  Scenario: the examples are valid
    Guards against examples that do not match the current settings.
    When the example settings are loaded
    Then 8 settings are valid
    And the seven VMs of the example name each other as peers

  Scenario: three errors in three sections are reported together
    When settings with an invalid port, an unknown key and a lease that is too short are loaded
    Then the settings problems name the fields "http.listen, mesh.queue, scheduling.renew_interval_s"

  Scenario Outline: addresses are IP addresses with a port
    Guards against host names, which need a name service, and against addresses that peers cannot
    connect to.
    When settings with "<field>" set to "<value>" are loaded
    Then the settings problems name the fields "<field>"

    Examples:
      | field                | value                 |
      | mesh.listen          | localhost:7101        |
      | mesh.listen          | 0.0.0.0:7101          |
      | mesh.listen          | 127.0.0.1:0           |
      | mesh.listen          | ::1:7101              |
      | http.listen          | 127.0.0.1             |
      | http.listen          | 127.0.0.1:70000       |
      | platform.log_url     | https://127.0.0.1:1   |
      | platform.vm_list_url | http://list.example:1 |

  Scenario: fields that contradict each other are reported
    When settings whose peers and key lifetime contradict other fields are loaded
    Then the settings problems name the fields "mesh.peers[0].region, mesh.peers[1].address, routing.key_lifetime_s"

  Scenario: arbitrary documents yield settings or problems and raise no exception
    When 120 arbitrary documents are parsed as settings
    Then each document gave either settings or problems

  Scenario: a file that is not TOML is reported with its position
    When a settings file with a broken line is loaded
    Then the settings problem names the line
