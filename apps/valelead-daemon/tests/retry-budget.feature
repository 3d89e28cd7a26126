Feature: The retries of all gateways together
  A service gets no more arrivals beyond the first of each request, in any window of 10 seconds, than a fifth of its requests and a reserve of 64.

  # Guards against a reserve that is spent anew by each start of a gateway.
  Scenario Outline: Gateways that are killed again and again share one reserve
    Given 9 gateways whose leader has counted them
    When every request fails, and all gateways are killed <times> times, <gap> ms apart
    Then the service gets no more repeats than its budget allows

    Examples:
      | times | gap  |
      | 1     | 3000 |
      | 3     | 3000 |
      | 5     | 1500 |

  # Guards against shares that together are more than the reserve: after starts, elections, cuts and departures.
  Scenario Outline: Random histories of <gateways> gateways
    Then in 60 random histories with <gateways> gateways the service gets no more repeats than its budget allows

    Examples:
      | gateways |
      | 2        |
      | 5        |
      | 9        |

  # Guards against a budget that is kept by sending no retries.
  Scenario: Gateways that run for a while use the reserve
    Given 9 gateways whose leader has counted them
    When every request fails for 10000 ms
    Then the service gets at least 0.7 of the repeats that its budget allows
