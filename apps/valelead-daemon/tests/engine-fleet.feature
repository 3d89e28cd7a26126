Feature: Concurrency limit of a gateway at an engine
  In a full-size installation, 70 gateways send requests for one busy model to few engines of 12 slots. If each gateway could send two requests to an
  engine, up to 140 requests would go to its 12 slots, and requests would wait in one engine while another one is idle.

  Scenario: A gateway sends nothing to an engine whose slots are in use by other gateways
    Given 70 gateways and an engine of 12 slots with 12 requests of other gateways in progress
    Then the concurrency limit of a gateway is 0

  Scenario: A gateway takes no more than its share
    Given 70 gateways and an engine of 12 slots with 3 requests of other gateways in progress
    Then the concurrency limit of a gateway is 2

  Scenario: A gateway's own requests do not lower its limit
    Given 70 gateways and an engine of 12 slots with 11 requests of other gateways in progress
    And 1 more request of this gateway
    Then the concurrency limit of a gateway is 1

  Scenario: The limit at an engine without a report depends on its slots alone
    Given 5 gateways and an engine of 6 slots without a report
    Then the concurrency limit of a gateway is 3
