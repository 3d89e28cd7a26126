Feature: Leases of a leader
  What a leader grants rests on what its followers tell, in each term anew.

  Background:
    Given a leader of term 3 with engine "e1" and a session of gateway "g1"

  Scenario: An engine without a sidecar is given to a gateway, and the directory says where that is reached
    When 8000 ms pass with reports
    Then "g1" is granted "e1" with a fence of term 3
    And the directory names "g1" as the keeper of "e1"

  # Guards against an engine that is given to a gateway which ends in a moment, and has no orders until that one's lease is over.
  Scenario: An engine without a sidecar is not given to a gateway that stops
    When gateway "g2" joins and "g1" says that it stops
    And 8000 ms pass with reports
    Then "g2" is granted "e1" with a fence of term 3
    And "g1" is granted nothing

  Scenario: An engine whose sidecar a gateway has reached is not given away
    When "g1" says that it has reached the sidecar of "e1"
    And 8000 ms pass with reports
    Then "g1" is granted nothing
    And the directory names nobody as the keeper of "e1"

  Scenario: Sidecars that were named in a session are remembered in the next term
    When "g1" says that it has reached the sidecar of "e1"
    And the leader is elected again, in term 5
    And 8000 ms pass with reports
    Then "g1" is granted nothing

  Scenario: A leader that is elected again grants nothing of its earlier term
    When 8000 ms pass with reports
    And the leader is elected again, in term 5
    Then "g1" is granted nothing

  Scenario: A voter that does not lead grants nothing
    When 8000 ms pass with reports
    And the leader loses its lease
    Then "g1" is granted nothing
