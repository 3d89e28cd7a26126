Feature: Judgement on requests that crash upstreams
  Six engines that come back 2 to 4 s after a crash, 21 innocent requests a second of 1.3 s, one crash in 8 s that no request caused, and
  guilty requests that crash an engine within 90 ms of their begin and come again every 0.3 to 1.8 s.

  Scenario Outline: <guilty> guilty requests among innocent ones, 50 seeds
    When <guilty> guilty requests come again for 40 seconds under seeds 1 to 50
    Then no innocent request is quarantined
    And at most <late> engines crash under tries that were sent later than 1.5 s after three crashes under that request
    And each guilty request crashes <mean> engines in the mean at most, and <most> at most
    And at least <share> of the innocent requests are served, and at most <without> without judgement

    Examples:
      | guilty | late | mean | most | share | without |
      | 1      | 0    | 3.1  | 3    | 0.95  | 0.26    |
      | 5      | 0    | 3.0  | 3    | 0.77  | 0.02    |
      | 20     | 0    | 2.3  | 3    | 0.39  | 0.02    |

  Scenario: An answer clears a request, and so does an operator's release
    Given crashes of runs "a, b" under requests "x, y"
    And a crash of run "c" under request "x"
    When an upstream answers "x" whole
    Then "x" is blamed for 0 crashes and "y" for 2
    When "y" is released by an operator
    Then "x" is blamed for 0 crashes and "y" for 0

  # Guards against: requests that always crash engines together, each of which takes four and more crashes until it is judged.
  Scenario: Requests that share every crash are judged at the third at which they had just begun
    Given crashes of runs "a, b" under requests "u, v, w, x, y, z"
    Then "z" is not quarantined
    Given crashes of runs "c" under requests "u, v, w, x, y, z"
    Then "z" is quarantined

  Scenario: What many callers ask is in progress at every crash and is not blamed
    Given a request "popular" that was answered whole
    And crashes of runs "a, b, c, d" under requests "popular"
    Then "popular" is blamed for 0 crashes and "other" for 0
    And "popular" is not quarantined

  Scenario: A request whose time of quarantine is over needs one more crash
    Given crashes of runs "a, b, c" under requests "x"
    Then "x" is quarantined
    When the quarantine of "x" ends by time
    And a crash of run "d" under request "x"
    Then "x" is quarantined

  Scenario: Crashes are told several times and by several gateways
    Given crashes of runs "a, b" under requests "x"
    And crashes of runs "a, b" under requests "x"
    Then "x" is not quarantined

  Scenario: A broken connection alone is no crash, and a planned end neither
    When a connection to run "a" breaks under request "x"
    And another run announces itself at another address
    Then no run has crashed
    When another run announces itself at the address of "a"
    Then run "a" has crashed under "x"
