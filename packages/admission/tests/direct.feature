Feature: Direct upstreams
  An entry that reaches upstreams directly keeps to their concurrency limits and to its retry budget, and avoids failing upstreams.

  Background:
    Given an entry that reaches upstreams "one, two" directly, with a limit of 3 requests each and 2 retries

  Scenario: Concurrency limits are kept, and a request that ends frees capacity
    When 8 requests arrive
    Then 6 are dispatched and 2 wait
    When a request at "one" ends
    Then 7 are dispatched and 1 waits

  Scenario: A refused connection costs no retry, and the upstream is ejected at once
    When "one" refuses connections and 8 requests arrive
    Then none is refused
    And one request was sent to "one"

  Scenario: An upstream's refusal to run a request costs a retry
    When upstreams refuse every request before running it and 5 requests arrive one after the other
    Then 2 requests were sent a second time
    And every refusal says that the request did not run

  # Guards against requests that are sent to more upstreams than their route allows while upstreams reject them. Each one has three dispatches.
  Scenario Outline: A request that may reach <most> upstreams is rejected by all of them
    Given an entry that reaches upstreams "one, two, three" directly, with a limit of 3 requests each and 9 retries
    When upstreams refuse every request before running it and a request that may reach <most> of them arrives
    Then the request was sent 3 times, to <most> different upstreams, with a pause before each of the same
    And every refusal says that the request did not run

    Examples:
      | most |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a queue that stands still behind a request which may be sent to one upstream only.
  Scenario: A request that waits for the only upstream that it may reach holds up no other request
    Given an entry that reaches upstreams "one, two" directly, with a limit of 1 requests each and 2 retries
    When a request that may reach 1 upstream is rejected by "one", which is avoided for 400 ms
    And 1 request arrives
    Then the last 1 were sent to "two"
    When 400 ms pass without a response
    Then the last 1 were sent to "one"

  # Guards against a request that waits until its deadline for an upstream that is gone.
  Scenario: A request is refused once the only upstream that it may reach no longer serves its target
    Given an entry that reaches upstreams "one, two" directly, with a limit of 1 requests each and 2 retries
    When a request that may reach 1 upstream is rejected by "one", which is avoided for 400 ms
    And "one" no longer serves the target
    And 50 ms pass without a response
    Then every refusal says that the request did not run

  # Guards against requests that wait for seconds, some until their deadlines, for upstreams that have places again after they had rejected requests for a while.
  Scenario Outline: Upstreams that rejected all requests for <ms> ms get requests soon after they accept them again
    When a request arrives each 100 ms, and upstreams reject all of them before running them for the first <ms> ms
    Then requests were sent again within 1000 ms after that

    Examples:
      | ms    |
      | 4000  |
      | 10000 |
      | 20000 |

  Scenario: A request that may have run is retried no more often than its route allows
    When upstreams fail every request after running it and 1 request that may run 2 times arrives
    Then the request was sent 2 times
    And the refusal says that the request may have run

  Scenario: An unresponsive upstream is deprioritised
    When 2 requests arrive
    And "two" answers and "one" is silent for 1000 ms
    And 2 requests arrive
    Then the last 2 were sent to "two"

  Scenario: A resumable stream that breaks is resumed on another upstream
    When a resumable stream begins at an upstream and breaks
    Then the request was sent 2 times

  # Guards against a retry at the upstream that has just failed the request, as long as it is the least loaded one.
  Scenario: A request is retried at another upstream although that one has more requests in progress
    Given "two" has 16 requests of other entries in progress
    When the first attempt of a request fails at "one" after running
    Then the request was sent 2 times
    And the last 1 were sent to "two"

  # Guards against a stream that waits for an ejected upstream, or is sent to it, although the one that broke it off has failed less often.
  Scenario: A resumable stream that breaks while the other upstream is ejected is resumed where it broke
    Given an entry that reaches upstreams "one, two" directly, with a limit of 20 requests each and 4 retries
    And "two" has 16 requests of other entries in progress
    When 3 resumable streams break at "one", and a further one arrives and breaks at the other upstream
    Then the further one was sent to "two" twice, the second time within 150 ms

  Scenario: A broken stream that must not run twice is not sent again
    When a stream that runs once begins at an upstream and breaks
    Then the request was sent 1 times
    And the refusal says that the request may have run

  Scenario: The only upstream is ejected once it is unresponsive, so that its model is loaded elsewhere
    Given an entry that reaches upstreams "one" directly, with a limit of 3 requests each and 2 retries
    When 1 request arrives
    And 1400 ms pass without a response
    And 1 request arrives
    Then 2 are dispatched and 0 wait
    When 200 ms pass without a response
    Then the upstream is ejected
    When 1 request arrives
    Then 2 are dispatched and 1 waits

  # Guards against exceeding the rate limit of an upstream when several requests are dispatched after one event.
  Scenario: An upstream gets no more requests than its rate limit allows, and other requests go elsewhere or wait
    Given "one" limits its requests to 1 a second, of which 2 may be sent now
    When 8 requests arrive
    Then 5 are dispatched and 3 wait
    And 2 were sent to "one"

  # Guards against requests that wait for a rate-limited upstream although they cannot be sent before their deadline.
  Scenario: A request that rate limits would delay beyond its deadline is refused at once
    Given "one" limits its requests to 1 a second, of which 0 may be sent now
    And "two" limits its requests to 1 a second, of which 0 may be sent now
    When 25 requests arrive
    Then 0 are dispatched and 20 wait
    And 5 were refused at once, with a Retry-After time of at least 10000 ms
