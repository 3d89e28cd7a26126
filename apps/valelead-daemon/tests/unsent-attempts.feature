Feature: Attempts that end before they are sent
  An attempt that is told as not run has sent nothing and sends nothing later.

  # Guards against a promise that follows from an event which was not read yet: a request without a socket in a full pool, or before its connection is noted.
  Scenario: Attempts that are given up at random moments are told as not run only if nothing of them arrives
    Given an upstream that notes every request
    When 900 attempts over few connections are given up at random moments, while the process stands still now and then
    Then at least 200 attempts are told as not run
    And none of these arrived at the upstream
