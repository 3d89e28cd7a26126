Feature: Publishing of engine summaries to gateways
  A change of the offered models is published at once; changes of counts are batched.

  Scenario: A loaded model is published at once
    Given a sidecar with 2 followers that has published "m1" with 4 requests
    When it loads "m1, m2"
    Then it has published one more summary within 0 ms

  Scenario: A large change of counts is published soon
    Given a sidecar with 2 followers that has published "m1" with 4 requests
    When "m1" has 8 requests
    Then it has published one more summary within 80 ms

  Scenario: A small change soon after another summary is delayed
    Given a sidecar with 2 followers that has published "m1" with 4 requests
    When "m1" has 8 requests
    Then it has published one more summary within 80 ms
    When "m1" has 9 requests
    Then it has published one summary in all within 900 ms
    And it has published two summaries in all within 1200 ms

  Scenario: Summaries are published less often if there are more followers
    Given a sidecar with 50 followers that has published "m1" with 4 requests
    When "m1" has 8 requests
    Then it has published no further summary within 300 ms
    And it has published one more summary within 420 ms

  Scenario: A change that is reverted in time is not published
    Given a sidecar with 2 followers that has published "m1" with 4 requests
    When "m1" has 5 requests
    And "m1" has 4 requests
    Then it has published no further summary within 2000 ms
