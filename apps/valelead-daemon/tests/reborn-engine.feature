Feature: An engine that starts again under its id
  An engine may crash and start again under the id that it had. It then holds nothing and counts its orders anew, so whatever its keeper
  knows of the run before is wrong for it.

  Scenario: What the run before held and counted is forgotten
    Given a keeper of engine "e" born at 1000 that holds "a, b" and has taken 40 orders
    When the engine starts again, born at 2000, holding nothing
    And a gateway waits for "a"
    Then the engine is ordered to load "a" at order 0
    And gateways are told that run "e@2000" holds ""

  Scenario: The end of an order to the run before is not waited for
    Given a keeper of engine "e" born at 1000 that holds "a, b" and has taken 40 orders
    When a gateway begins to wait for "c"
    And the engine starts again at once, born at 2000, holding nothing
    Then the engine is ordered to load "c" at order 0

  Scenario: An answer of the run before that comes late is not believed
    Given a keeper of engine "e" born at 1000 that holds "a, b" and has taken 40 orders
    When the engine starts again, born at 2000, holding nothing
    And its directory still names the run born at 1000
    Then gateways are told that run "e@2000" holds ""

  Scenario: Room is left for a load that was ordered without an answer of the run before
    Given a keeper of engine "e" born at 1000 that holds "a, b" and has taken 3 orders
    And the engine leaves orders without an answer
    When a gateway waits for "c"
    And the engine starts again, born at 2000, holding nothing
    And the engine answers orders again
    And a gateway waits for "a, b, d" in turn
    Then the engine holds at most 3 models when the order of before is carried out late

  Scenario: Random restarts and late orders never fill an engine beyond its memory
    When 300 random histories of restarts, orders without an answer and late orders are played
    Then no engine was ordered beyond its memory
