Feature: Load planner
  The planner of a gateway chooses engines to load the models that its requests wait for, and further replicas of busy models.

  Background:
    Given engines of 230 units of memory and models of 70 units

  Scenario: One waiting request leads to one load
    Given empty engines "e1, e2, e3" with copies of all models
    When 1 request of the gateway waits for "a"
    Then 1 engine is chosen to load "a"

  # Guards against a model that is loaded, for a resumed stream, at an engine which may not continue the stream.
  Scenario: A model for a resumed stream is loaded where the stream may go on
    Given empty engines "e1, e2, e3" with copies of all models
    And engine "e2" has software version "v2"
    When 1 request that resumes a stream of software version "v2" waits for "a"
    Then engines "e2" are chosen to load "a"

  # Guards against a forecast for a resumed stream that counts on engines which may not continue it.
  Scenario: A resumed stream is promised nothing by engines that may not continue it
    Given empty engines "e1, e2, e3" with copies of all models
    When 1 request that resumes a stream of software version "v2" waits for "a"
    Then 0 engines are chosen to load "a"
    And no time is forecast for it

  Scenario: After the restart of all engines, a busy model is loaded on several engines at once
    Given empty engines "e1, e2, e3" with copies of all models
    When 2 requests of the gateway wait for "a"
    And the sidecar of "e2" reports 50 requests of all gateways that wait for "a"
    Then 3 engines are chosen to load "a"

  Scenario: Waiting requests evict idle models on one engine only
    Given engines "e1, e2, e3" that have loaded "b, c, d" and have copies of all models
    When 2 requests of the gateway wait for "a"
    And the sidecar of "e2" reports 50 requests of all gateways that wait for "a"
    Then 1 engine is chosen to load "a"

  Scenario: A busy model evicts an idle one for one replica at a time
    Given engines "e1, e2, e3" that have loaded "b, c, d" and have copies of all models
    And engine "e1" has loaded "a" with 30 requests in progress
    When 1 request for "a" is in progress at "e1"
    Then 1 engine is chosen to load "a"

  Scenario: A replica is not fetched from the weight store for a small excess
    Given engines "e1, e2, e3" that have loaded "b, c, d" and have copies of "b, c, d"
    And engine "e1" has loaded "a" with 30 requests in progress
    When 1 request for "a" is in progress at "e1"
    Then 0 engines are chosen to load "a"

  Scenario: A request that waits for an adapter of a loaded model needs no further replica
    Given engines "e1, e2, e3" that have loaded "b, c, d" and have copies of all models
    And engine "e1" has loaded "a" with 3 requests in progress
    When 1 request of the gateway waits for "a/x"
    Then 0 engines other than "e1" are chosen to load "a"

  Scenario: A load moves away from an engine whose models are always in use
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of "b, c, d"
    And engine "e1" has "a copy of a" and has loaded "b, c, d" with 5 requests in progress each
    When 1 request of the gateway waits for "a" for 6000 ms and no engine begins to load
    Then the first chosen engine is "e1" and the last one is "e2"
    And the load is reported to have moved from "e1" to "e2" because it was stuck

  Scenario: A load stays on an engine that has a long queue but an idle model
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of "b, c, d"
    And engine "e1" has loaded "a" with 0 requests in progress
    When 1 request of the gateway waits for "a/x" for 6000 ms and no engine begins to load
    Then the first chosen engine is "e1" and the last one is "e1"

  Scenario: A busy model gets one offload replica on an engine with few copies
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of all models
    And engine "e1" has loaded "a" with 10 requests in progress
    And engine "e3" has loaded "b" and has no other copy
    When 1 request for "a" is in progress at "e1"
    Then 1 engine is chosen to load "a"
    And 0 engines other than "e3" are chosen to load "a"

  Scenario: A model with few requests gets no offload replica
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of all models
    And engine "e1" has loaded "a" with 2 requests in progress
    And engine "e3" has loaded "b" and has no other copy
    When 1 request for "a" is in progress at "e1"
    Then 0 engines are chosen to load "a"

  Scenario: The forecast for a model that is not loaded is the load on the chosen engine
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of all models
    When 1 request of the gateway waits for "a"
    Then "a" is forecast to be loaded in 800 to 800 ms

  Scenario: The forecast for a model without a copy is a load from the weight store
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of "b, c, d"
    When 1 request of the gateway waits for "a"
    Then 1 engine is chosen to load "a"
    And "a" is forecast to be loaded in 6000 to 12000 ms

  Scenario: After a start nothing is fetched from the weight store until the engines that may have a copy are known
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of "b, c, d"
    When 1 request of the gateway waits for "a"
    Then just after discovery, 0 engines are chosen to load "a", and there is no forecast

  Scenario: After a start a load from a copy does not wait until all engines are known
    Given engines "e1, e2" that have loaded "b, c, d" and have copies of all models
    When 1 request of the gateway waits for "a"
    Then just after discovery, 1 engine is chosen to load "a", and it is forecast in 800 ms
