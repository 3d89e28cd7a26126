Feature: Estimate of what the weight store sustains
  Fetches beyond what the weight store sustains block their engines without delivering a copy sooner. The estimate follows from the elapsed time of
  fetches in progress, before they end.

  # Guards against an estimate that falls only once several slow fetches have ended: on a store that sustains one fetch this took four load times.
  Scenario Outline: An overdue fetch lowers the estimate before it ends
    Given a store that sustains <sustained> concurrent fetches of 10 s
    When engines fetch up to the estimate for <seconds> s
    Then the estimate is at most <most>

    Examples:
      | sustained | seconds | most |
      | 1         | 16      | 1    |
      | 2         | 16      | 2    |

  Scenario Outline: The estimate approaches what the store sustains
    Given a store that sustains <sustained> concurrent fetches of 10 s
    When engines fetch up to the estimate for <seconds> s
    Then the estimate has been at most <most> for the last 60 s
    And the store has delivered at least <share> of what it can

    Examples:
      | sustained | seconds | most | share |
      | 1         | 240     | 2    | 0.9   |
      | 2         | 240     | 3    | 0.9   |
      | 4         | 240     | 6    | 0.85  |
      | 19        | 300     | 29   | 0.7   |

  # Guards against an estimate that never recovers after a time in which the store was slow.
  Scenario: The estimate rises with a store that becomes faster
    Given a store that sustains 1 concurrent fetches of 10 s
    When engines fetch up to the estimate for 120 s
    And the store then sustains 6 concurrent fetches
    And engines fetch up to the estimate for 180 s
    Then the estimate is at least 5

  # Guards against the fetch of a crashed engine that counts as one that ended at full speed.
  Scenario: A fetch that ends with its engine does not raise the estimate
    Given a store that sustains 1 concurrent fetches of 10 s
    When 4 engines begin to fetch and crash after 5 s
    Then the estimate is at most 4

  Scenario Outline: Processes without a measurement of their own use the median of the reported ones
    When the processes report estimates "<reported>"
    Then the shared estimate is <shared>

    Examples:
      | reported   | shared |
      |            | 0      |
      | 0, 0       | 0      |
      | 0, 2       | 2      |
      | 1, 2, 2, 9 | 2      |
      | 1, 4       | 1      |

  # Guards against fetches for requests in addition to the prefetches that use up what the store sustains.
  Scenario: Fetches in progress count toward what the store sustains
    Given 10 engines with as many copies each
    When 2 of them are fetching from a store that sustains 2 fetches
    Then only those 2 may fetch
    When 1 of them is fetching from a store that sustains 2 fetches
    Then that one and 1 other may fetch
