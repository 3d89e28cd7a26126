Feature: Reports that a voter cannot handle
  Gateways and sidecars report to the leader, and to the next one if it fails.

  # Guards against one report that ends the leader, and then each voter that leads after it, as its sender reports to all of them.
  Scenario: A report at which a voter throws ends its own session
    Given a voter with sessions of "g1" and "g2"
    When the voter throws at a report of "g1"
    Then the session of "g1" is ended with an error
    And the voter handles the next report of "g2"
