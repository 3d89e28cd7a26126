Feature: Calls to the leader while the wall clock steps
  On some machines the wall clock jumps by seconds and back. Deadlines are therefore measured by the monotonic clock.

  Scenario Outline: A step of the wall clock moves no deadline
    Given a voter that does not reply
    When a call with 2000 ms is made and the wall clock steps by <step> ms
    Then the call ends between 2000 ms and 2800 ms

    Examples:
      | step    |
      | 0       |
      | 600000  |
      | -600000 |

  # Guards against a process that never finds the leader again: the voters reported by a leader replaced the addresses of the settings. If all
  # these voters moved or were replaced while the process was partitioned, no address that it still tried replied.
  Scenario: The addresses of the settings are tried after those that a leader reported
    Given calls to the leader with "a, b" in the settings
    When they receive the voters "c, a, d"
    Then the voters are tried in this order: "c, a, d, b, c"
    When they receive the voters "e"
    Then the voters are tried in this order: "e, a, b, e"
