Feature: When a stopping gateway accepts no further connections
  The load balancer checks readiness each second, and takes a gateway out after two failures. Its checks may be late, and some callers do not use it.

  # Guards against connections that are reset because the listening socket is closed while the balancer still opens them.
  Scenario Outline: A gateway that stopped <stopMs> ms ago and accepted a connection <acceptedMs> ms ago, after <failed> failed checks, is drained: <drained>
    Then a gateway that a balancer checks is drained "<drained>" <stopMs> ms after its stop and <acceptedMs> ms after a connection, with <failed> failed checks

    Examples:
      | stopMs | acceptedMs | failed | drained |
      | 2500   | 500        | 2      | true    |
      | 2499   | 2000       | 2      | false   |
      | 2500   | 499        | 2      | false   |
      | 3900   | 3000       | 1      | false   |
      | 3900   | 3000       | 0      | false   |

  # Guards against a gateway that waits for checks that nobody makes.
  Scenario: A gateway that no balancer has checked is drained without failed checks
    Then a gateway that no balancer checks is drained "true" 2500 ms after its stop and 500 ms after a connection, with 0 failed checks
