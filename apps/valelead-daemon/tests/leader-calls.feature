Feature: Calls to the leader while the time of day steps
  Some machines' time of day jumps by seconds and back. Deadlines are measured by the monotonic clock.

  Scenario Outline: A step of the time of day moves no deadline
    Given a voter that answers nothing
    When a call with 2000 ms is made and the time of day steps by <step> ms
    Then the call ends between 2000 ms and 2800 ms

    Examples:
      | step    |
      | 0       |
      | 600000  |
      | -600000 |

  # Seen by reading: what a leader tells of the voters replaced the addresses of the settings. Came about: a process is cut off while all voters that it learnt
  # of move or are replaced. Cause: nothing of its list is left that answers, and it keeps no other. Proof: once it has learnt, the addresses of the settings
  # are not tried again however long nobody answers.
  Scenario: The addresses of the settings are tried after those that were learnt
    Given calls to the leader with "a, b" in the settings
    When they learn that the voters are "c, a, d"
    Then the voters are tried in this order: "c, a, d, b, c"
    When they learn that the voters are "e"
    Then the voters are tried in this order: "e, a, b, e"
