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
