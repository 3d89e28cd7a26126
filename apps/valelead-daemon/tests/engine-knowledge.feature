Feature: Discovery of engines
  A gateway fetches no model from the weight store, and refuses no request by a forecast, until it knows the engines that may have a copy.
  The settling period must not restart at each change of one engine: while engines were replaced one by one, no model without a copy was fetched for
  8 s and its requests were held in vain. The log showed no `request-given-up` line and no load from the weight store between the first replacement
  and 1.5 s after the last, then 51 and 5 of them within a second.

  Scenario: After a start the gateway waits until the engines are known
    When engines "e1, e2, e3, e4, e5, e6" are reached at 0 ms
    Then the engines are not known well enough at 1400 ms
    And the engines are known well enough at 1600 ms

  Scenario: After a start the gateway waits for engines that are discovered one after the other
    When engines "e1, e2" are reached at 0 ms
    And engines "e3, e4" are reached at 1000 ms
    Then the engines are not known well enough at 2000 ms
    And the engines are known well enough at 2600 ms

  Scenario: A rolling replacement of engines does not reset what is known
    Given engines "e1, e2, e3, e4, e5, e6" were reached long ago
    When engine "e7" is reached at 0 ms
    And engine "e1" is removed at 500 ms
    And engine "e8" is reached at 1000 ms
    And engine "e2" is removed at 1500 ms
    Then the engines are known well enough at all times from 0 ms to 2000 ms

  Scenario: The loss of one sidecar does not reset what is known
    Given engines "e1, e2, e3, e4, e5, e6" were reached long ago
    When the sidecar of "e3" is lost at 0 ms
    Then the engines are known well enough at all times from 0 ms to 2000 ms

  Scenario: After the loss of all engines the gateway waits for their next runs
    Given engines "e1, e2, e3, e4, e5, e6" were reached long ago
    When all engines are removed at 0 ms
    And engines "f1, f2" are reached at 700 ms
    Then the engines are not known well enough at 2100 ms
