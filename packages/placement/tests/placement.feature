Feature: Placement
  Units are loaded in the order of the cost of waiting for them, within the limits of the weight store.

  Scenario: A burst of requests for one cold model causes one load
    Given 3 VMs of 16 GiB and 4 cold models of 4 GiB
    When 40 requests wait for model 0 during 10 rounds
    Then 1 load is ordered

  Scenario: The concurrency limit of the weight store is kept
    Given 3 VMs of 64 GiB and 12 cold models of 4 GiB
    When 2 requests wait for every model during 10 rounds
    Then at most 4 loads run at once

  Scenario: The model with the higher cost of waiting is loaded first
    Given 1 VM of 8 GiB and 2 cold models of 8 GiB
    When 1 request of weight 1 waits for model 0
    And 1 request of weight 5 waits for model 1
    And one round of placement is decided
    Then model 1 is granted first

  Scenario: A model is not evicted while requests wait for it
    Given 1 VM of 8 GiB and 2 cold models of 8 GiB
    When model 0 is loaded and requests wait for it and for model 1
    Then nothing is revoked

  Scenario: A model is not loaded for requests whose deadline precedes the end of the load
    Given 1 VM of 8 GiB and 1 cold model of 8 GiB
    When 3 requests wait for model 0 that have 100 ms left
    Then no load is ordered

  Scenario: The policy weights determine how long models stay loaded
    Then a higher cost of cold starts keeps models loaded for longer
    And a higher cost of idle accelerators keeps models loaded for less time
