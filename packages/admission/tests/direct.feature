Feature: Direct upstreams
  An entry that reaches upstreams itself keeps their places, spares its retries, and passes over those that fail.

  Background:
    Given an entry that reaches upstreams "one, two" itself, with 3 places each and 2 retries

  Scenario: Places are kept and given back
    When 8 requests arrive
    Then 6 are dispatched and 2 wait
    When a request at "one" ends
    Then 7 are dispatched and 1 waits

  Scenario: A connection that is refused costs no retry, and the upstream is left out at once
    When "one" refuses connections and 8 requests arrive
    Then none is refused
    And "one" was tried once

  Scenario: A refusal of an upstream that did not run the request costs a retry
    When upstreams refuse every request before running it and 5 requests arrive one after the other
    Then 2 requests were sent a second time
    And every refusal says that the request did not run

  Scenario: A request that may have run goes again no more often than its route allows
    When upstreams fail every request after running it and 1 request that may run 2 times arrives
    Then it was sent 2 times
    And the refusal says that it may have run

  Scenario: An upstream that answers nothing is passed over
    When 2 requests arrive
    And "two" answers and "one" is silent for 1000 ms
    And 2 requests arrive
    Then the last 2 were sent to "two"

  Scenario: A stream that breaks goes on elsewhere where it may be resumed
    When a resumable stream begins at an upstream and breaks
    Then it was sent 2 times

  Scenario: A stream that must not run twice is not sent again
    When a stream that runs once begins at an upstream and breaks
    Then it was sent 1 times
    And the refusal says that it may have run

  Scenario: The only upstream is left out once it answers nothing at all, so that its model is loaded elsewhere
    Given an entry that reaches upstreams "one" itself, with 3 places each and 2 retries
    When 1 request arrives
    And 1400 ms pass without an answer
    And 1 request arrives
    Then 2 are dispatched and 0 wait
    When 200 ms pass without an answer
    Then the upstream is left out
    When 1 request arrives
    Then 2 are dispatched and 1 waits

  # Guards against requests beyond what an upstream that limits them may still get, sent within one turn.
  Scenario: An upstream that limits its requests gets no more than may be sent, and the others go elsewhere or wait
    Given "one" limits its requests to 1 a second, of which 2 may be sent now
    When 8 requests arrive
    Then 5 are dispatched and 3 wait
    And 2 were sent to "one"

  # Guards against callers that wait for a turn that comes after they have left.
  Scenario: A request whose turn at limited upstreams comes too late is refused at once
    Given "one" limits its requests to 1 a second, of which 0 may be sent now
    And "two" limits its requests to 1 a second, of which 0 may be sent now
    When 25 requests arrive
    Then 0 are dispatched and 20 wait
    And 5 were refused at once, to come back in no less than 10000 ms
