Feature: Places at an engine
  The pattern is one busy model on few engines of 12 slots before 70 gateways, as at full size: a share of two places for each gateway
  makes 140 places before 12 slots, and requests wait in one engine while another one is idle.

  Scenario: Gateways leave an engine whose slots are in use
    Given 70 gateways and an engine of 12 slots with 12 requests of others in progress
    Then a gateway has 0 places there

  Scenario: A gateway takes no more than its share
    Given 70 gateways and an engine of 12 slots with 3 requests of others in progress
    Then a gateway has 2 places there

  Scenario: Its own requests do not take its places
    Given 70 gateways and an engine of 12 slots with 11 requests of others in progress
    And 1 more request of this gateway
    Then a gateway has 1 place there

  Scenario: An upstream without a sidecar's word is shared by slots alone
    Given 5 gateways and an engine of 6 slots without a report
    Then a gateway has 3 places there
