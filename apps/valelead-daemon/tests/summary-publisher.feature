Feature: What a sidecar tells gateways
  An offer goes out at once, counts in company, and never one by one.

  Scenario: A model that is loaded is told at once
    Given a sidecar with 2 followers that told of "m1" with 4 requests
    When it holds "m1, m2"
    Then it has told once more within 0 ms

  Scenario: A large change of counts is told soon
    Given a sidecar with 2 followers that told of "m1" with 4 requests
    When "m1" has 8 requests
    Then it has told once more within 80 ms

  Scenario: A small change soon after another report waits for others
    Given a sidecar with 2 followers that told of "m1" with 4 requests
    When "m1" has 8 requests
    Then it has told once more within 80 ms
    When "m1" has 9 requests
    Then it has told once in all within 900 ms
    And it has told twice in all within 1200 ms

  Scenario: More followers hear less often
    Given a sidecar with 50 followers that told of "m1" with 4 requests
    When "m1" has 8 requests
    Then it has told nothing more within 300 ms
    And it has told once more within 420 ms

  Scenario: What changes back is not told
    Given a sidecar with 2 followers that told of "m1" with 4 requests
    When "m1" has 5 requests
    And "m1" has 4 requests
    Then it has told nothing more within 2000 ms
