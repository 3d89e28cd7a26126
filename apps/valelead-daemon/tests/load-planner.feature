Feature: Load planner
  A gateway wishes for the models that its requests wait for, and for replicas of busy ones.

  Background:
    Given engines of 230 units of memory and models of 70 units

  Scenario: One waiting request wishes for one load
    Given empty engines "e1, e2, e3" with copies of all models
    When 1 request of the gateway waits for "a"
    Then 1 engine is to load "a"

  Scenario: After the restart of all engines, a busy model is loaded on several at once
    Given empty engines "e1, e2, e3" with copies of all models
    When 2 requests of the gateway wait for "a"
    And the sidecar of "e2" tells of 50 requests of all gateways that wait for "a"
    Then 3 engines are to load "a"

  Scenario: Waiting requests displace idle models at one engine only
    Given engines "e1, e2, e3" that hold "b, c, d" with copies of all models
    When 2 requests of the gateway wait for "a"
    And the sidecar of "e2" tells of 50 requests of all gateways that wait for "a"
    Then 1 engine is to load "a"

  Scenario: A busy model displaces an idle one for one replica at a time
    Given engines "e1, e2, e3" that hold "b, c, d" with copies of all models
    And engine "e1" holds "a" with 30 requests in progress
    When 1 request for "a" is in progress at "e1"
    Then 1 engine is to load "a"

  Scenario: A replica is not fetched from the weight store for a small excess
    Given engines "e1, e2, e3" that hold "b, c, d" with copies of "b, c, d"
    And engine "e1" holds "a" with 30 requests in progress
    When 1 request for "a" is in progress at "e1"
    Then 0 engines are to load "a"

  Scenario: A request that waits for an adapter of a loaded model calls for no replica
    Given engines "e1, e2, e3" that hold "b, c, d" with copies of all models
    And engine "e1" holds "a" with 3 requests in progress
    When 1 request of the gateway waits for "a/x"
    Then 0 engines other than "e1" are to load "a"

  Scenario: An engine of which all models are in use for ever is left for another one
    Given engines "e1, e2" that hold "b, c, d" with copies of "b, c, d"
    And engine "e1" holds "a copy of a" and "b, c, d" with 5 requests in progress each
    When 1 request of the gateway waits for "a" for 6000 ms and no engine begins to load
    Then it was to be loaded at "e1" first and at "e2" last
    And it is told that the load moved from "e1" to "e2" as it was stuck

  Scenario: An engine that has a long queue but an idle model is not left
    Given engines "e1, e2" that hold "b, c, d" with copies of "b, c, d"
    And engine "e1" holds "a" with 0 requests in progress
    When 1 request of the gateway waits for "a/x" for 6000 ms and no engine begins to load
    Then it was to be loaded at "e1" first and at "e1" last

  Scenario: A busy model moves to an engine with few copies, once
    Given engines "e1, e2" that hold "b, c, d" with copies of all models
    And engine "e1" holds "a" with 10 requests in progress
    And engine "e3" holds "b" and keeps no other copy
    When 1 request for "a" is in progress at "e1"
    Then 1 engine is to load "a"
    And 0 engines other than "e3" are to load "a"

  Scenario: A model with few requests does not move
    Given engines "e1, e2" that hold "b, c, d" with copies of all models
    And engine "e1" holds "a" with 2 requests in progress
    And engine "e3" holds "b" and keeps no other copy
    When 1 request for "a" is in progress at "e1"
    Then 0 engines are to load "a"

  Scenario: The forecast for a cold model is the load at the chosen engine
    Given engines "e1, e2" that hold "b, c, d" with copies of all models
    When 1 request of the gateway waits for "a"
    Then "a" is forecast to be loaded in 800 to 800 ms

  Scenario: The forecast for a model of which no copy exists is a load from the weight store
    Given engines "e1, e2" that hold "b, c, d" with copies of "b, c, d"
    When 1 request of the gateway waits for "a"
    Then 1 engine is to load "a"
    And "a" is forecast to be loaded in 6000 to 12000 ms

  Scenario: After a start nothing is fetched from the weight store until the engines that may keep a copy are known
    Given engines "e1, e2" that hold "b, c, d" with copies of "b, c, d"
    When 1 request of the gateway waits for "a"
    Then just after the engines became known, 0 engines are to load "a", and there is no forecast

  Scenario: A load from a copy does not wait for that
    Given engines "e1, e2" that hold "b, c, d" with copies of all models
    When 1 request of the gateway waits for "a"
    Then just after the engines became known, 1 engine is to load "a", and it is forecast in 800 ms
