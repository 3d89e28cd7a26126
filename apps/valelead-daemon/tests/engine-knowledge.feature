Feature: Engine knowledge
  A gateway fetches no model from the weight store, and refuses no request by a forecast, until it knows the engines that may keep a copy.
  Seen: while engines were replaced one after the other, for 8 s no model without a copy was fetched and callers were held in vain.
  Caused by a quiet time that each change of one engine began anew. Proved by the log of such a day: no `request-given-up` line and no load
  from the weight store between the first replacement and 1.5 s after the last, then 51 and 5 of them within a second.

  Scenario: After a start the engines are waited for
    When engines "e1, e2, e3, e4, e5, e6" are reached at 0 ms
    Then the engines are not known well enough at 1400 ms
    And they are at 1600 ms

  Scenario: Engines that become known one after the other at the start are waited for
    When engines "e1, e2" are reached at 0 ms
    And engines "e3, e4" are reached at 1000 ms
    Then the engines are not known well enough at 2000 ms
    And they are at 2600 ms

  Scenario: Engines that are replaced one after the other do not hold up the rest
    Given engines "e1, e2, e3, e4, e5, e6" were reached long ago
    When engine "e7" is reached at 0 ms
    And engine "e1" is gone at 500 ms
    And engine "e8" is reached at 1000 ms
    And engine "e2" is gone at 1500 ms
    Then they are known well enough at all times from 0 ms to 2000 ms

  Scenario: An engine whose sidecar is lost for a moment does not hold up the rest
    Given engines "e1, e2, e3, e4, e5, e6" were reached long ago
    When the sidecar of "e3" is lost at 0 ms
    Then they are known well enough at all times from 0 ms to 2000 ms

  Scenario: After the loss of all engines their next runs are waited for
    Given engines "e1, e2, e3, e4, e5, e6" were reached long ago
    When all engines are gone at 0 ms
    And engines "f1, f2" are reached at 700 ms
    Then the engines are not known well enough at 2100 ms
