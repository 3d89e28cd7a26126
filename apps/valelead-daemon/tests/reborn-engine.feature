Feature: An engine that restarts under its id
  An engine may crash and restart under the same id. Its new run has no models and counts its orders from 0, so everything that its manager
  knows of the previous run is wrong for it.

  Scenario: The models and the order count of the previous run are forgotten
    Given a manager of engine "e" with start time 1000, models "a, b" and 40 accepted orders
    When the engine restarts with start time 2000 and no models
    And a gateway waits for "a"
    Then the engine is ordered to load "a" with sequence number 0
    And the manager reports that run "e@2000" has loaded ""

  Scenario: The manager does not wait for the end of an order to the previous run
    Given a manager of engine "e" with start time 1000, models "a, b" and 40 accepted orders
    When a gateway begins to wait for "c"
    And the engine restarts at once with start time 2000 and no models
    Then the engine is ordered to load "c" with sequence number 0

  Scenario: A stale directory entry of the previous run is ignored
    Given a manager of engine "e" with start time 1000, models "a, b" and 40 accepted orders
    When the engine restarts with start time 2000 and no models
    And the directory still lists the run with start time 1000
    Then the manager reports that run "e@2000" has loaded ""

  Scenario: Memory is reserved for a load that the previous run was ordered and did not confirm
    Given a manager of engine "e" with start time 1000, models "a, b" and 3 accepted orders
    And the engine does not reply to orders
    When a gateway waits for "c"
    And the engine restarts with start time 2000 and no models
    And the engine replies to orders again
    And a gateway waits for "a, b, d" one after the other
    Then the engine has loaded at most 3 models after the earlier order is carried out late

  Scenario: Random restarts and late orders never exceed an engine's memory
    When 300 random histories of restarts, unanswered orders and late orders are simulated
    Then no engine was ordered to load more than fits into its memory
