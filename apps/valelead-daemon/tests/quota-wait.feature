Feature: Requests that wait for the leader's answer on their team's quota
  A gateway without stock asks the leader, and refuses the request if the leader does not answer within half of the latency objective.

  # Guards against a request that is refused as if no leader had answered, because the gateway stood still while the answer lay in its socket.
  Scenario: A gateway that stood still reads the leader's answer before it refuses
    Given a gateway without stock, at which a request with an objective of 400 ms waits
    When the gateway stands still for 300 ms, and the leader's loan arrives meanwhile
    Then the request is admitted

  # Guards against requests that wait for as long as the gateway is late.
  Scenario Outline: A request without an answer is refused soon after its wait
    Given a gateway without stock, at which a request with an objective of 400 ms waits
    When the gateway stands still <times> times for <ms> ms
    Then the request is refused with 2016 within <limit> ms

    Examples:
      | times | ms  | limit |
      | 0     | 0   | 250   |
      | 1     | 300 | 350   |
      | 5     | 150 | 450   |
