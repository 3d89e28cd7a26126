Feature: A machine that is suspended
  The monotonic clock stops during a suspension, so a lease may have expired although it seems valid by this clock.

  Scenario Outline: A suspension is detected by comparing the monotonic clock with the wall clock
    Given a process whose clocks have advanced together for 60000 ms
    When the monotonic clock advances by <monotonic> ms and the wall clock by <wall> ms
    Then a suspension is <noticed>

    Examples:
      | monotonic | wall  | noticed     |
      # The machine was suspended.
      | 0         | 100   | noticed     |
      | 5         | 60005 | noticed     |
      # The wall clock was set forward, which cannot be distinguished from a suspension.
      | 100       | 2100  | noticed     |
      # The wall clock was set back, or slewed by 0.5 ms per second.
      | 100       | -1900 | not noticed |
      | 100000    | 100050 | not noticed |
      | 100       | 110   | not noticed |

  Scenario: Short suspensions add up
    Given a process whose clocks have advanced together for 60000 ms
    When the monotonic clock advances by 100 ms and the wall clock by 110 ms
    And the monotonic clock advances by 100 ms and the wall clock by 110 ms
    And the monotonic clock advances by 100 ms and the wall clock by 110 ms
    Then a suspension is noticed

  Scenario: A holder of order leases gives them up after a suspension past their end
    Given a process whose clocks have advanced together for 60000 ms
    And a holder of an order lease on "10.0.0.1:80" that the leader has just confirmed
    When the monotonic clock advances by 0 ms and the wall clock by 4000 ms
    Then the holder reports no lease
    When a reply to a report from before the suspension arrives
    Then the holder reports no lease
    When the leader replies to a report made now
    Then the holder reports its lease

  Scenario: A holder keeps its leases after a short suspension
    Given a process whose clocks have advanced together for 60000 ms
    And a holder of an order lease on "10.0.0.1:80" that the leader has just confirmed
    When the monotonic clock advances by 0 ms and the wall clock by 1000 ms
    Then the holder reports its lease
    When the monotonic clock advances by 2600 ms and the wall clock by 2600 ms
    Then the holder reports no lease

  Scenario: A confirmed routing is fresh until the end of its lease by either clock
    Given a process whose clocks have advanced together for 1000 ms
    And its routing was just confirmed, and revoked keys must not be accepted after 5000 ms
    When the monotonic clock advances by 100 ms and the wall clock by 3900 ms
    Then its routing is fresh
    When the monotonic clock advances by 200 ms and the wall clock by 200 ms
    Then its routing is not fresh

  Scenario: A confirmation that was requested before a suspension is ignored
    Given a process whose clocks have advanced together for 1000 ms
    And it asks for a confirmation of its routing, and revoked keys must not be accepted after 5000 ms
    When the monotonic clock advances by 10 ms and the wall clock by 60000 ms
    And the confirmation of its routing arrives
    Then its routing is not fresh

  Scenario: No routing is fresh before it is confirmed, unless there is no limit for revoked keys
    Given a process whose clocks have advanced together for 1000 ms
    And it asks for a confirmation of its routing, and revoked keys must not be accepted after 5000 ms
    Then its routing is not fresh
    And without a limit for revoked keys it is fresh
