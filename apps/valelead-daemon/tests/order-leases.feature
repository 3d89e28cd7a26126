Feature: Leases on engines without a sidecar
  The leader grants these leases according to its followers' reports, and starts again without leases in each term.

  Background:
    Given a leader of term 3 with engine "e1" and a session of gateway "g1"

  Scenario: A lease on an engine without a sidecar is granted to a gateway, and the directory has the gateway's address
    When 8000 ms pass with reports
    Then "g1" is granted "e1" with a fence of term 3
    And the directory names "g1" as the manager of "e1"

  # Guards against granting an engine to a gateway that is about to exit: the engine gets no orders until that gateway's lease expires.
  Scenario: No lease is granted to a gateway that is stopping
    When gateway "g2" joins and "g1" reports that it is stopping
    And 8000 ms pass with reports
    Then "g2" is granted "e1" with a fence of term 3
    And "g1" is granted nothing

  Scenario: No lease is granted on an engine whose sidecar a gateway has reached
    When "g1" reports that it has reached the sidecar of "e1"
    And 8000 ms pass with reports
    Then "g1" is granted nothing
    And the directory names no manager of "e1"

  Scenario: Sidecars that a session has reported are still known in the next term
    When "g1" reports that it has reached the sidecar of "e1"
    And the leader is elected again, in term 5
    And 8000 ms pass with reports
    Then "g1" is granted nothing

  Scenario: A leader that is elected again does not confirm leases of its earlier term
    When 8000 ms pass with reports
    And the leader is elected again, in term 5
    Then "g1" is granted nothing

  Scenario: A voter that is not the leader grants no leases
    When 8000 ms pass with reports
    And the leader loses its lease
    Then "g1" is granted nothing
