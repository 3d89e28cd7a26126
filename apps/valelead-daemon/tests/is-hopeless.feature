Feature: Requests that wait in vain
  A caller whose model will be loaded only when it has left is told so at once, and when to come back.

  Background:
    Given a route with an objective of 2000 ms whose callers leave after 8000 ms, and 13000 ms of time

  Scenario Outline: A waiting request is given up when its load is expected after its caller has left
    When a request has waited for <waited> ms and its model is expected in <forecast> ms
    Then the decision about it is "<decision>"

    Examples:
      | waited | forecast | decision |
      | 0      | 500      | kept     |
      | 0      | 7900     | kept     |
      | 0      | 8100     | given up |
      | 3000   | 4900     | kept     |
      | 3000   | 5100     | given up |

  Scenario: The time of a caller may end before its patience
    When a request with 4000 ms of time has waited for 0 ms and its model is expected in 4500 ms
    Then the decision about it is "given up"

  Scenario: A model whose callers are all refused is loaded for their return
    When a refused caller is told to come back in 4000 ms
    Then its model is still needed after 4200 ms, for a caller that leaves 6000 ms after it was to come back
    And its model is no longer needed after 4600 ms
