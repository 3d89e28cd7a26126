Feature: Residency
  An engine holds what its gateways need, never more than it can, and gives up only what nobody needs.

  Background:
    Given an engine of 230 units of memory and 2 adapter slots, with models of 70 units and adapters of 1 unit

  Scenario: A cold model takes the place of the one that is idle for longest
    Given it holds "a, b, c" with copies of all
    And the models were used at times "a:1, b:3, c:2"
    When 1 request waits for "d"
    And "a" has 1 request in progress
    Then the next order is "unload c"

  Scenario: With room, a model is loaded at once
    Given it holds "a, b" with copies of all
    When 1 request waits for "d"
    Then the next order is "load d"

  Scenario: Nothing makes way that somebody needs
    Given it holds "a, b, c" with copies of all
    When 1 request waits for "d"
    And "a" has 1 request in progress
    And "b" has 1 request in progress
    And "c" has 1 request in progress
    Then there is no next order
    And the load of "d" is delayed as "no-idle-model"

  Scenario: A model without a copy makes way last
    Given it holds "a, b, c" with copies of "b, c"
    And the models were used at times "a:1, b:3, c:2"
    When 1 request waits for "d"
    Then the next order is "unload c"

  Scenario: Before any use, a model that other engines hold too makes way after the others
    Given it holds "a, b, c" with copies of all
    And other engines hold "a, b" too
    When 1 request waits for "d"
    Then the next order is "unload c"

  Scenario: A load that can still make its objective goes before one that cannot
    Given it holds "a" with copies of "d"
    When 1 request that is due in 1000 ms waits for "e"
    And 1 request that is due in 2000 ms waits for "d"
    Then the next order is "load d"

  Scenario: A load that cannot make its objective does not wait for ever, though its callers give up and others come
    Given it holds "a" with copies of "d"
    When requests for "e" come for 3000 ms, each given up after 2400 ms
    And 1 request of rank 2 that is due in 2000 ms waits for "d"
    Then the next order is "load e"

  Scenario: A load from the weight store waits for those from copies, which serve many requests in its time
    Given it holds "a" with copies of "c, d"
    When 3 requests of rank 0 that is due in 9000 ms wait for "e"
    And 1 request of rank 0 that is due in 2000 ms waits for "d"
    Then the next order is "load d"

  Scenario: A load from the weight store does not wait for ever while others come for copies
    Given it holds "a" with copies of "c, d"
    When requests for "d" come for 20000 ms, each answered from a copy in time, while 1 request waits for "e"
    Then the next order is "load e"

  Scenario: A request that is late already does not make the others of its model late
    Given it holds "a" with copies of all
    When 1 request of rank 0 that is due in -500 ms waits for "d"
    And 2 requests of rank 0 that is due in 1500 ms wait for "d"
    And 1 request of rank 0 that is due in 1500 ms waits for "e"
    Then the next order is "load d"

  Scenario: An adapter takes the slot of an idle one
    Given it holds "a+x+y, b" with copies of all
    When 1 request waits for "a/z"
    And "a/x" has 1 request in progress
    Then the next order is "unload a/y"

  Scenario: A busy engine gets no order
    Given it holds "a" with copies of all
    And it is busy
    When 1 request waits for "d"
    Then there is no next order

  Scenario: Orders never go beyond the engine's memory or slots, and never take what is needed
    When 2000 random states of an engine are decided on
    Then no order breaks a limit

  Scenario: Gateways that know the same choose the same engine, the one that is ready first
    Given sites
      | engine | held | memory | disk | remaining | queue |
      | one    | no   | no     | yes  |           | 0     |
      | two    | no   | no     | yes  |           | 0     |
      | three  | no   | no     | no   |           | 0     |
      | four   | no   | yes    | yes  |           | 6000  |
    Then the site for "m" is one of "one, two" in any order of the sites

  Scenario: A load in progress is joined
    Given sites
      | engine | held | memory | disk | remaining | queue |
      | one    | no   | no     | yes  |           | 0     |
      | two    | no   | no     | no   | 500       | 500   |
    Then the site for "m" is one of "two" in any order of the sites

  Scenario: Each missing model is fetched by one engine, some at a time
    Given 3 idle engines that keep "a, b" of the models "a, b, c, d, e, f, g"
    Then together they fetch 2 different models with 2 loads at once
    And together they fetch 3 different models with 4 loads at once

  Scenario Outline: A replica on an engine with few slots takes fewer requests
    Given replicas "one, two, three, four" of a model on engines of 12 slots
    When <count> requests are in progress
    Then <spare> of the replicas are spare, the same in any order

    Examples:
      | count | spare |
      | 6     | 3     |
      | 7     | 2     |
      | 24    | 0     |

  Scenario Outline: A model's requests keep to as many replicas as they call for
    Given replicas "one, two, three, four" of a model
    When <count> requests are in progress
    Then <spare> of the replicas are spare, the same in any order

    Examples:
      | count | spare |
      | 0     | 3     |
      | 16    | 3     |
      | 17    | 2     |
      | 100   | 0     |

  Scenario: Among loads that can make their objective, the higher rank goes first
    Given it holds "a" with copies of all
    When 1 request of rank 1 that is due in 1000 ms waits for "d"
    And 1 request of rank 0 that is due in 2000 ms waits for "e"
    Then the next order is "load e"

  Scenario: An engine whose models are all in use is passed over while another one has an idle one
    Given sites
      | engine | held | memory | disk | remaining | queue | in use |
      | e1     | no   | no     | yes  |           | 0     | yes    |
      | e2     | no   | no     | yes  |           | 900   | no     |
    Then the site for "a" is one of "e2" in any order of the sites

  Scenario: An engine with few copies fetches what fewest engines keep
    Given engines that keep "a, b, c", "a, b, d" and ""
    Then the engine that keeps "" fetches one of "c, d, e" and no other engine fetches
    And the engine that keeps "" fetches "e" where no engine keeps it

  Scenario: Engines that keep about as much as the others fetch nothing
    Given engines that keep "a, b, c", "a, b, d" and "a, c"
    Then no engine fetches

  Scenario: Many requests of the next rank outweigh one
    Given it holds "a" with copies of all
    When 5 requests of rank 1 that is due in 2000 ms wait for "d"
    And 1 request of rank 0 that is due in 1000 ms waits for "e"
    Then the next order is "load d"

  Scenario: A late answer counts for less than one in time
    Given it holds "a" with copies of all
    When 3 requests of rank 0 that is due in 100 ms wait for "d"
    And 1 request of rank 0 that is due in 1000 ms waits for "e"
    Then the next order is "load e"

  Scenario: A load that only waits for a place is not expected sooner because it is queued
    Given sites
      | engine | held | memory | disk | remaining | started | queue | in use |
      | e1     | no   | no     | yes  | 900       | no      | 900   | yes    |
      | e2     | no   | no     | yes  |           | no      | 900   | no     |
    Then the site for "a" is one of "e2" in any order of the sites

  Scenario: A load that has begun is waited for
    Given sites
      | engine | held | memory | disk | remaining | started | queue | in use |
      | e1     | no   | no     | yes  | 900       | yes     | 900   | yes    |
      | e2     | no   | no     | yes  |           | no      | 900   | no     |
    Then the site for "a" is one of "e1" in any order of the sites

  Scenario: A load from the weight store goes to the engine that keeps few copies
    Given sites
      | engine | held | memory | disk | remaining | started | queue | copies |
      | e1     | no   | no     | no   |           | no      | 0     | 1      |
      | e2     | no   | no     | no   |           | no      | 4000  | 0      |
    Then the site for "a" is one of "e2" in any order of the sites

  Scenario: An adapter is loaded where the engine is free, not where it carries out a load
    Given sites
      | engine | held | memory | disk | remaining | started | queue | busy |
      | e1     | yes  | no     | yes  |           | no      | 0     | 500  |
      | e2     | yes  | no     | yes  |           | no      | 0     | 0    |
    Then the site for "a" is one of "e2" in any order of the sites

  Scenario: An engine with few copies carries a busy model, so that the others can load rare ones
    Given replicas "one, two, three" of a model
    Then with few copies on "one" the others are spare
    And with few copies on "three" the others are spare

  Scenario: In a short pause, an engine that loads copies all the time does not begin a load from the weight store
    Given it holds "a" with copies of "c, d"
    And the engine has loaded copies for 1 request in time a second over the last 5 s
    When 1 request of rank 0 that is due in 2000 ms waits for "e"
    Then there is no next order
    And the load of "e" is delayed as "copies-first"

  Scenario: An engine that has loaded no copies lately does
    Given it holds "a" with copies of "c, d"
    When 1 request of rank 0 that is due in 2000 ms waits for "e"
    Then the next order is "load e"

  Scenario: Few engines fetch from the weight store, the same in any order
    Given 20 engines that keep 18 copies each
    Then 4 engines fetch, the same in any order

  Scenario: Engines that keep few copies fetch, and no others where they suffice
    Given 20 engines that keep 18 copies each, 6 of them none
    Then 6 engines fetch, the same in any order
    And those are the engines without copies
