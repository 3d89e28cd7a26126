Feature: Quarantine decisions about requests that crash upstreams
  The simulation has six engines that restart 2 to 4 s after a crash, 21 harmless requests a second that run for 1.3 s each, one crash in 8 s that no
  request causes, and crashing requests, each of which crashes an engine within 90 ms after it begins to run and is sent again every 0.3 to 1.8 s.

  Scenario Outline: <crashing> crashing requests among harmless ones, 50 seeds
    When <crashing> crashing requests are sent repeatedly for 40 seconds with seeds 1 to 50
    Then no harmless request is quarantined
    And at most <late> engines crash on attempts that were sent more than 1.5 s after the third crash on the same request
    And crashing requests crash at most <mean> engines each on average, and none more than <most>
    And at least <share> of the harmless requests are served, and at most <without> without quarantine

    Examples:
      | crashing | late | mean | most | share | without |
      | 1        | 0    | 3.1  | 3    | 0.95  | 0.26    |
      | 5        | 0    | 3.0  | 3    | 0.77  | 0.02    |
      | 20       | 0    | 2.3  | 3    | 0.39  | 0.02    |

  Scenario: A complete response clears a request, and so does a release by an operator
    Given crashes of runs "a, b" with requests "x, y" in progress
    And a crash of run "c" with request "x" in progress
    When an upstream answers "x" completely
    Then the crash score of "x" is 0 and that of "y" is 2
    When "y" is released by an operator
    Then the crash score of "x" is 0 and that of "y" is 0

  # Guards against late decisions about requests that always crash engines together: they share the score for each crash, so that each of them took four or
  # more crashes until it was quarantined.
  Scenario: Requests that share every crash are quarantined at the third crash at which they had just begun to run
    Given crashes of runs "a, b" with requests "u, v, w, x, y, z" in progress
    Then "z" is not quarantined
    Given crashes of runs "c" with requests "u, v, w, x, y, z" in progress
    Then "z" is quarantined

  Scenario: A request that many callers send is in progress at every crash and keeps a crash score of 0
    Given a request "popular" that was answered completely
    And crashes of runs "a, b, c, d" with requests "popular" in progress
    Then the crash score of "popular" is 0 and that of "other" is 0
    And "popular" is not quarantined

  Scenario: A request whose quarantine has expired is quarantined again after one more crash
    Given crashes of runs "a, b, c" with requests "x" in progress
    Then "x" is quarantined
    When the quarantine of "x" expires
    And a crash of run "d" with request "x" in progress
    Then "x" is quarantined

  Scenario: A crash counts once, although several gateways report it several times
    Given crashes of runs "a, b" with requests "x" in progress
    And crashes of runs "a, b" with requests "x" in progress
    Then "x" is not quarantined

  Scenario: A broken connection counts as a crash only once another run announces itself at the same address
    When a connection to run "a" breaks with request "x" in progress
    And another run announces itself at another address
    Then no run has crashed
    When another run announces itself at the address of "a"
    Then run "a" has crashed with request "x" in progress
