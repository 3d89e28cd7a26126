Feature: Retries that wait for an upstream
  In any window of 10 seconds, the retries that a service receives do not exceed a fifth of its requests plus a reserve of 64, also if retries wait first.

  # Guards against a budget that fills up while the retries charged to it wait: both arrive in one window.
  Scenario Outline: A service loses all its upstreams for <outage> ms under <rate> requests a second
    Given a gateway that sends <rate> requests a second, each of which takes <service> ms, to a service for 20 s
    When the upstreams of the service are lost for <outage> ms, and then fail every second request once for 20 s
    Then the service gets no more repeats than its budget allows in any window
    And it gets at least 0.8 of them in one

    Examples:
      | rate | outage | service |
      | 100  | 3000   | 800     |
      | 100  | 4000   | 800     |
      | 100  | 4200   | 800     |
      | 100  | 500    | 800     |
