Feature: Residency
  An engine loads the models and adapters that requests of its gateways need. It never exceeds its memory and slots, and it unloads only what no request
  needs.

  Background:
    Given an engine with 230 MB of memory and 2 adapter slots, with models of 70 MB and adapters of 1 MB

  Scenario: A model that is not loaded replaces the least recently used idle model
    Given it has loaded "a, b, c" and has copies of all models
    And the models were last used at times "a:1, b:3, c:2"
    When 1 request waits for "d"
    And "a" has 1 request in progress
    Then the next order is "unload c"

  Scenario: A model is loaded at once if the engine has free memory
    Given it has loaded "a, b" and has copies of all models
    When 1 request waits for "d"
    Then the next order is "load d"

  Scenario: A model that requests need is not evicted
    Given it has loaded "a, b, c" and has copies of all models
    When 1 request waits for "d"
    And "a" has 1 request in progress
    And "b" has 1 request in progress
    And "c" has 1 request in progress
    Then there is no next order
    And the load of "d" is delayed with reason "no-idle-model"

  Scenario: A model without a copy is evicted last
    Given it has loaded "a, b, c" and has copies of "b, c"
    And the models were last used at times "a:1, b:3, c:2"
    When 1 request waits for "d"
    Then the next order is "unload c"

  Scenario: Before any use, a model that is also loaded on other engines is evicted last
    Given it has loaded "a, b, c" and has copies of all models
    And other engines have also loaded "a, b"
    When 1 request waits for "d"
    Then the next order is "unload c"

  Scenario: A load that can still meet its latency objective precedes one that cannot
    Given it has loaded "a" and has copies of "d"
    When 1 request due in 1000 ms waits for "e"
    And 1 request due in 2000 ms waits for "d"
    Then the next order is "load d"

  Scenario: A load that cannot meet its objective does not starve while its callers give up and new ones arrive
    Given it has loaded "a" and has copies of "d"
    When requests for "e" arrive for 3000 ms and each caller gives up after 2400 ms
    And 1 request of rank 2 due in 2000 ms waits for "d"
    Then the next order is "load e"

  Scenario: A load from the weight store waits for loads from copies, which serve many requests in the same time
    Given it has loaded "a" and has copies of "c, d"
    When 3 requests of rank 0 due in 9000 ms wait for "e"
    And 1 request of rank 0 due in 2000 ms waits for "d"
    Then the next order is "load d"

  Scenario: A load from the weight store does not starve while requests for models with copies keep arriving
    Given it has loaded "a" and has copies of "c, d"
    When requests for "d" arrive for 20000 ms and each is served in time from a copy, while 1 request waits for "e"
    Then the next order is "load e"

  Scenario: A request that is already late does not delay the other requests for its model
    Given it has loaded "a" and has copies of all models
    When 1 request of rank 0 due in -500 ms waits for "d"
    And 2 requests of rank 0 due in 1500 ms wait for "d"
    And 1 request of rank 0 due in 1500 ms waits for "e"
    Then the next order is "load d"

  Scenario: An adapter replaces an idle adapter
    Given it has loaded "a+x+y, b" and has copies of all models
    When 1 request waits for "a/z"
    And "a/x" has 1 request in progress
    Then the next order is "unload a/y"

  Scenario: A busy engine gets no order
    Given it has loaded "a" and has copies of all models
    And it is busy
    When 1 request waits for "d"
    Then there is no next order

  Scenario: Orders never exceed the engine's memory or slots, and never unload what requests need
    When the next order is decided for 2000 random states of an engine
    Then no order exceeds a limit or unloads a needed unit

  Scenario: Gateways with the same information choose the same engine, the one that is ready first
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | queue |
      | one    | no     | no     | yes  |           | 0     |
      | two    | no     | no     | yes  |           | 0     |
      | three  | no     | no     | no   |           | 0     |
      | four   | no     | yes    | yes  |           | 6000  |
    Then the engine chosen to load "m" is one of "one, two", whatever the order of the candidates

  Scenario: An engine that is already loading the model is chosen
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | queue |
      | one    | no     | no     | yes  |           | 0     |
      | two    | no     | no     | no   | 500       | 500   |
    Then the engine chosen to load "m" is one of "two", whatever the order of the candidates

  Scenario: Each missing model is prefetched by one engine, with a limited number of concurrent fetches
    Given 3 idle engines with copies of "a, b" out of the models "a, b, c, d, e, f, g"
    Then together they prefetch 2 different models with 2 concurrent fetches
    And together they prefetch 3 different models with 4 concurrent fetches

  Scenario Outline: A replica on an engine with few slots serves fewer requests
    Given replicas "one, two, three, four" of a model on engines with 12 slots
    When <count> requests are in progress
    Then <surplus> of the replicas are surplus, whatever their order

    Examples:
      | count | surplus |
      | 6     | 3       |
      | 7     | 2       |
      | 24    | 0       |

  Scenario Outline: A model's requests use no more replicas than they need
    Given replicas "one, two, three, four" of a model
    When <count> requests are in progress
    Then <surplus> of the replicas are surplus, whatever their order

    Examples:
      | count | surplus |
      | 0     | 3       |
      | 16    | 3       |
      | 17    | 2       |
      | 100   | 0       |

  Scenario: Among loads that can meet their objective, the one for the higher rank goes first
    Given it has loaded "a" and has copies of all models
    When 1 request of rank 1 due in 1000 ms waits for "d"
    And 1 request of rank 0 due in 2000 ms waits for "e"
    Then the next order is "load e"

  Scenario: An engine whose models are all in use is not chosen if another engine has an idle model
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | queue | in use |
      | e1     | no     | no     | yes  |           | 0     | yes    |
      | e2     | no     | no     | yes  |           | 900   | no     |
    Then the engine chosen to load "a" is one of "e2", whatever the order of the candidates

  Scenario: An engine with few copies fetches a model of which the fewest engines have copies
    Given engines with copies of "a, b, c", "a, b, d" and ""
    Then the engine with copies of "" fetches one of "c, d, e" and no other engine fetches
    And the engine with copies of "" fetches "e", of which no engine has a copy

  Scenario: Engines with about as many copies as the other engines fetch nothing
    Given engines with copies of "a, b, c", "a, b, d" and "a, c"
    Then no engine fetches

  Scenario: Many requests of the next rank outweigh one request of the highest rank
    Given it has loaded "a" and has copies of all models
    When 5 requests of rank 1 due in 2000 ms wait for "d"
    And 1 request of rank 0 due in 1000 ms waits for "e"
    Then the next order is "load d"

  Scenario: A late response counts for less than one in time
    Given it has loaded "a" and has copies of all models
    When 3 requests of rank 0 due in 100 ms wait for "d"
    And 1 request of rank 0 due in 1000 ms waits for "e"
    Then the next order is "load e"

  Scenario: A load that waits for an eviction is not expected to end sooner because it is queued
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | started | queue | in use |
      | e1     | no     | no     | yes  | 900       | no      | 900   | yes    |
      | e2     | no     | no     | yes  |           | no      | 900   | no     |
    Then the engine chosen to load "a" is one of "e2", whatever the order of the candidates

  Scenario: An engine that has begun the load is chosen although its other models are in use
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | started | queue | in use |
      | e1     | no     | no     | yes  | 900       | yes     | 900   | yes    |
      | e2     | no     | no     | yes  |           | no      | 900   | no     |
    Then the engine chosen to load "a" is one of "e1", whatever the order of the candidates

  Scenario: A load from the weight store goes to the engine with few copies
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | started | queue | copies |
      | e1     | no     | no     | no   |           | no      | 0     | 1      |
      | e2     | no     | no     | no   |           | no      | 4000  | 0      |
    Then the engine chosen to load "a" is one of "e2", whatever the order of the candidates

  Scenario: An adapter is loaded on an idle engine rather than on one with a load in progress
    Given the candidate engines
      | engine | loaded | memory | disk | remaining | started | queue | busy |
      | e1     | yes    | no     | yes  |           | no      | 0     | 500  |
      | e2     | yes    | no     | yes  |           | no      | 0     | 0    |
    Then the engine chosen to load "a" is one of "e2", whatever the order of the candidates

  Scenario: An engine with few copies serves a busy model, so that the other engines can load rarely used ones
    Given replicas "one, two, three" of a model
    Then with few copies on "one" the other replicas are surplus
    And with few copies on "three" the other replicas are surplus

  Scenario: In a short pause, an engine that keeps loading from copies does not begin a load from the weight store
    Given it has loaded "a" and has copies of "c, d"
    And the engine has served 1 request per second in time by loads from copies over the last 5 s
    When 1 request of rank 0 due in 2000 ms waits for "e"
    Then there is no next order
    And the load of "e" is delayed with reason "copies-first"

  Scenario: An engine without recent loads from copies begins a load from the weight store
    Given it has loaded "a" and has copies of "c, d"
    When 1 request of rank 0 due in 2000 ms waits for "e"
    Then the next order is "load e"

  Scenario: Only few engines may fetch from the weight store, and their order does not change the choice
    Given 20 engines with 18 copies each
    Then 4 engines may fetch, whatever their order

  Scenario: If enough engines have few copies, only these engines may fetch
    Given 20 engines with 18 copies each, 6 of them without copies
    Then 6 engines may fetch, whatever their order
    And those are the engines without copies
