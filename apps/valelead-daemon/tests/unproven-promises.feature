Feature: Statuses that promise that a request has not run
  408, 421, 429 and 503 promise a caller that its request has not run and never will. An upstream that has not run a request says so.

  # Guards against an upstream's 408, 429 or 503 that is passed on as a promise which the upstream did not make: the caller runs its request again.
  Scenario Outline: An unsafe request that may have run does not get the status <status>
    Given a gateway with a route of unsafe requests to two upstreams that answer <status> after 20 ms
    When 3 unsafe requests arrive at once
    Then all 3 callers get the refusal 3003, which promises nothing
    And 0 requests were sent again

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  # Guards against other failures of upstreams that are replaced too.
  Scenario: An unsafe request gets its upstream's other failures unchanged
    Given a gateway with a route of unsafe requests to two upstreams that answer 500 after 20 ms
    When 3 unsafe requests arrive at once
    Then all 3 callers get status 500
    And 0 requests were sent again

  # Guards against answers to safe requests that are replaced: their callers may repeat them after any failure.
  Scenario: A safe request gets its upstream's status unchanged
    Given a gateway that may send 0 retries, with two upstreams that answer 503 after 20 ms
    When 3 safe requests arrive at once
    Then all 3 callers get status 503
    And 0 requests were sent again
