Feature: Speed of engines
  Engines differ in speed and slow down for parts of a second. A request that goes to a slow engine gets its first event late, so requests in progress
  there count for more. Engines of about the same speed are compared by their requests alone.

  # Guards against a window so long that an engine is known as slow only once it has recovered, and against one that avoids it long afterwards.
  Scenario Outline: A slow-down of half a second is seen while it lasts and forgotten soon after it
    Given an engine that sends <events> events a second with <gap> ms between them, and 9 others as fast
    When it has sent events for 5000 ms
    Then it counts as fast as the others
    When it is 2.5 times as slow for 250 ms
    Then it counts as at least <early> times as slow as the others
    When it is 2.5 times as slow for 350 ms
    Then it counts as at least <late> times as slow as the others
    When it is 1 times as slow for 400 ms
    Then it counts as fast as the others

    Examples:
      | events | gap | early | late |
      | 74     | 37  | 1.5   | 2    |
      | 87     | 28  | 1.5   | 2    |
      | 30     | 37  | 1.4   | 2    |

  # Guards against an engine that is avoided for ever because nothing measures its recovery.
  Scenario: An avoided engine without samples counts as fast as before its slow-down
    Given an engine that sends 74 events a second with 37 ms between them, and 9 others as fast
    When it has sent events for 5000 ms
    And it is 2.5 times as slow for 600 ms
    And it gets no requests for 500 ms
    Then it counts as at most 1.5 times as slow as the others
    When it gets no requests for 30000 ms
    Then its speed is not known

  # Guards against decisions by a handful of gaps, of which single ones are several times as long as others.
  Scenario: Few samples are not used
    Given an engine that sends 74 events a second with 37 ms between them, and 9 others as fast
    When 3 gaps of 500 ms are reported
    Then its speed is not known

  # Guards against one suspended gateway that makes an engine look slow for all of them.
  Scenario: A gateway that measured its own suspension changes the speed little
    Given an engine that sends 74 events a second with 37 ms between them, and 9 others as fast
    When it has sent events for 5000 ms
    And 1 gaps of 7700 ms are reported
    Then it counts as fast as the others

  Scenario: Invalid sums are ignored
    Given an engine that sends 74 events a second with 37 ms between them, and 9 others as fast
    When it has sent events for 5000 ms
    And 1 gaps of -1000000 ms are reported
    And -5 gaps of 10 ms are reported
    Then it counts as fast as the others

  # Guards against a deployment of even engines that is balanced by noise.
  Scenario: Engines within 1.25 of each other count as equally fast
    Given 200 random sets of engines within 1.25 of each other
    Then all engines of each set count as equally fast

  Scenario Outline: Uneven engines are compared with the median of those that are known
    Given engines with gaps of <gaps> ms
    Then their factors are <factors>

    Examples:
      | gaps                   | factors             |
      | 36, 36, 36, 16.5       | 1, 1, 1, 0.46       |
      | 28, 28, 36.4           | 1, 1, 1.3           |
      | 28, 28, 28, 70         | 1, 1, 1, 2.5        |
      | 28, 0, 28, 70          | 1, 1, 1, 2.5        |
      | 28, 28, 28, 2800       | 1, 1, 1, 4          |
      | 0, 0                   | 1, 1                |
      | 50                     | 1                   |
