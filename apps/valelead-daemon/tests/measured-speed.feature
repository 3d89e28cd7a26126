Feature: Published speed of an engine
  The manager of an engine merges what all gateways measured and publishes it with the engine's report.

  Background:
    Given an engine of which 28 gateways have measured gaps of 37 ms for 3000 ms

  # Guards against a slow-down that gateways learn of only with the next batch of counts, up to 225 ms later with 28 gateways.
  Scenario: A slow-down is published at once
    When the gateways measure gaps of 92 ms for 200 ms
    Then the speed was published at once 1 to 2 times
    And the last published gap is over 50 ms

  # Guards against a report for each sample.
  Scenario: The noise of the measurement publishes nothing
    When the gateways measure gaps of 35 to 39 ms for 5000 ms
    Then the speed was published at once 0 to 0 times
    And the published gap changed at most 2 times

  # Guards against an engine that still counts as slow when it has recovered but gets no requests.
  Scenario: A slow-down of an engine that gets no more requests ages out
    When the gateways measure gaps of 92 ms for 200 ms
    And nothing is measured for 500 ms
    Then publications were scheduled, at most 3
    And the last published gap is under 50 ms

  # Guards against samples of a crashed run that are counted for its successor.
  Scenario: Samples of another run are ignored
    When the gateways measure gaps of 92 ms for 1000 ms at the run before
    Then the last published gap is under 38 ms

  Scenario: A new run begins with an unknown speed
    When the engine starts again
    Then the last published gap is under 1 ms

  # Guards against fields that are lost between the processes.
  Scenario: Samples and speeds pass between processes
    When the gateways measure gaps of 92 ms for 1000 ms
    Then a report to a gateway contains the published gap
    And a report of an older manager contains a gap of 0 ms, and one of an older gateway no samples
