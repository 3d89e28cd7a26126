Feature: Requests that wait for the leader's answer on their team's quota
  A gateway without stock asks the leader, and refuses the request if the leader does not answer within half of the latency objective after it was
  asked.

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

  # Guards against requests of a burst that are refused as if no leader had answered, because the burst delayed the report that asks the leader.
  Scenario: The wait for the leader's answer begins when the leader is asked
    Given a gateway without stock, at which a request with an objective of 400 ms waits that is reported to the leader after 120 ms
    When the leader's loan arrives 150 ms later
    Then the request is admitted

  # Guards against requests that wait without end because their wait begins again.
  Scenario: A request that was reported late is refused soon after half of its objective
    Given a gateway without stock, at which a request with an objective of 400 ms waits that is reported to the leader after 120 ms
    Then the request is refused with 2016 within 370 ms

  # Guards against requests that wait for a report that is never made, as there is no session with a leader.
  Scenario: A request that is not reported is refused soon after half of its objective
    Given a gateway without stock, at which a request with an objective of 400 ms waits that is not reported to a leader
    Then the request is refused with 2016 within 250 ms

  # Guards against waits that begin again with each leader.
  Scenario: A request that is reported to several leaders waits once
    Given a gateway without stock, at which a request with an objective of 400 ms waits that is reported to the leader after 50 ms
    When 4 leaders follow each other, one each 40 ms, and none answers its need
    Then the request is refused with 2016 within 300 ms
