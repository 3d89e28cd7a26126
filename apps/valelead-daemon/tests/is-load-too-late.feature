Feature: Requests whose model loads too late
  A request is refused at once, with a Retry-After time, if its model is expected to load only after its caller has left.

  Background:
    Given a route with an objective of 2000 ms whose callers leave after 8000 ms, and a timeout of 13000 ms

  Scenario Outline: A waiting request is given up if its model is expected to load after its caller has left
    When a request has waited for <waited> ms and its model is expected in <forecast> ms
    Then the decision about it is "<decision>"

    Examples:
      | waited | forecast | decision |
      | 0      | 500      | kept     |
      | 0      | 7900     | kept     |
      | 0      | 8100     | given up |
      | 3000   | 4900     | kept     |
      | 3000   | 5100     | given up |

  Scenario: A request's timeout may end before its caller leaves
    When a request with a timeout of 4000 ms has waited for 0 ms and its model is expected in 4500 ms
    Then the decision about it is "given up"

  Scenario: A model whose callers were all refused is loaded for their retries
    When a refused caller is given a Retry-After time of 4000 ms
    Then its model is still needed after 4200 ms, for a caller that leaves 6000 ms after its retry is due
    And its model is no longer needed after 4600 ms

  # Guards against a refused request that counts with less than its caller's patience, or later than when it first came: its load then goes behind
  # those of later requests, and its caller is refused again.
  Scenario: A refused request keeps its place with the whole patience of its returned caller
    When a refused caller is expected to return after 5000 ms and to leave after 13000 ms
    Then its model is still needed after 5400 ms, first due at the same time, for a caller that leaves after 13000 ms
    And its model is no longer needed after 5600 ms
