Feature: Placement
  Loads follow what waiting costs, within what the weight store gives.

  Scenario: A burst for one cold model becomes one load
    Given 3 VMs of 16 GiB and 4 cold models of 4 GiB
    When 40 requests wait for model 0 through 10 rounds
    Then 1 load is ordered

  Scenario: The weight store's budget is kept
    Given 3 VMs of 64 GiB and 12 cold models of 4 GiB
    When 2 requests wait for every model through 10 rounds
    Then at most 4 loads run at once

  Scenario: The model whose waiting costs more is loaded first
    Given 1 VMs of 8 GiB and 2 cold models of 8 GiB
    When 1 requests of weight 1 wait for model 0
    And 1 requests of weight 5 wait for model 1
    And a round is decided
    Then model 1 is granted first

  Scenario: Nothing is evicted while requests wait for it
    Given 1 VMs of 8 GiB and 2 cold models of 8 GiB
    When model 0 is loaded and requests wait for it and for model 1
    Then nothing is revoked

  Scenario: A waiter whose time ends before the load is not loaded for
    Given 1 VMs of 8 GiB and 1 cold models of 8 GiB
    When 3 requests wait for model 0 that have 100 ms left
    Then no load is ordered

  Scenario: The weights move the keep time the right way
    Then a higher weight of cold starts keeps models longer
    And a higher weight of idle accelerators keeps models shorter
