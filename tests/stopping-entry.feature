Feature: Requests at an entry that is stopping
  The balancer needs a while to notice. What its own deadline ends before the entry's end is served, the rest is refused while its caller can still go elsewhere.

  Background:
    Given an installation with 1 engine and 0 services

  # Guards against callers that wait at a stopping entry until its end although their requests may not end before it.
  Scenario: A request that waits when the stop signal comes and has more time than the entry is refused at once
    Given requests may take 60 seconds, and a model "absent" that no engine has room for
    When a caller waits at entry 1 for "absent" and the entry gets SIGTERM
    Then the caller is refused within 500 ms as not run with code 2005, and its connection ends

  # Guards against a stopping entry that takes what it cannot end.
  Scenario: A request that comes after the stop signal and has more time than the entry is refused
    Given requests may take 60 seconds, and a model "absent" that no engine has room for
    When entry 1 gets SIGTERM and a caller asks it for "alloy" 300 ms later
    Then the caller is refused within 500 ms as not run with code 2005, and its connection ends

  # Guards against refusals of requests that end long before the entry does, while the balancer still sends it callers.
  Scenario: A request that comes after the stop signal and has less time than the entry is served
    When entry 1 gets SIGTERM and a caller asks it for "alloy" 300 ms later
    Then the whole answer comes and its connection ends

  # Guards against a call that was refused at the stop and whose idempotency key stays claimed, so that the next entry cannot run it.
  Scenario: A call with a key that was refused by a stopping entry runs at another one
    Given requests may take 60 seconds, and a model "absent" that no engine has room for
    When a call with key "k1" waits at entry 1 for a service without an upstream and the entry gets SIGTERM
    Then the caller is refused within 500 ms as not run with code 2005, and its connection ends
    And the call with key "k1" is answered by entry 2 once entry 1 has ended and the service has an upstream
