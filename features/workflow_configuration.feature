Feature: Reading of the operators' configuration
  Scenario Outline: a VM with a slow link reads few versions of a storm and ends with the newest
    Versions of 400 kB, four a second, take two thirds of a link of 20 Mbit/s. If the VM reads each
    of them, callers, journal and approvals time out.

    Given a store that receives <count> versions of 400 kB within 3 s, <others> other records between
    When a VM with a link of 20 Mbit/s reads the configuration for 4.6 s
    Then it has read at most <most> versions and knows the newest one

    Examples:
      | count | others | most |
      | 12    | 0      | 8    |
      | 12    | 12     | 9    |
      | 1     | 0      | 2    |

  Scenario: a version that was written alone is known at once
    The pause after a large version must not delay the next one when there is no storm.

    Given a store that receives 1 versions of 400 kB within 3 s, 0 other records between
    When a VM with a link of 20 Mbit/s reads the configuration for 1.9 s
    Then it has read at most 2 versions and knows the newest one
