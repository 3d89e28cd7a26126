Feature: Known status of an engine on another machine
  The reports of an engine on another machine are some hundred milliseconds old. No order is decided by a state from before the last order.

  Background:
    Given an engine that has loaded "a" reports at 0 ms that it has accepted 0 orders

  Scenario: No order is decided by a state from before the last order
    When an order to load "b" is accepted at 100 ms
    And the engine reports at 200 ms that it has accepted 0 orders
    Then no order can be decided
    When the engine reports at 500 ms that it has accepted 1 order and is busy
    Then the engine is known to be busy, with "a" loaded

  Scenario: An announcement that shows the end of the order takes precedence over older states
    When an order to load "b" is accepted at 100 ms
    And the engine announces at 900 ms that it has loaded "a, b"
    Then the engine is known to be idle, with "a, b" loaded
    When the engine reports at 950 ms that it has accepted 1 order and is busy
    Then the engine is known to be idle, with "a, b" loaded

  Scenario: An announcement from before the order does not confirm it
    When an order to load "b" is accepted at 100 ms
    And the engine announces at 120 ms that it has loaded "a"
    And the engine reports at 200 ms that it has accepted 0 orders
    Then no order can be decided

  Scenario: An announcement without the model confirms its unload
    When an order to unload "a" is accepted at 100 ms
    And the engine announces at 140 ms that it has loaded ""
    Then the engine is known to be idle, with "" loaded

  Scenario: An order that no report shows counts as lost after a timeout
    When an order to load "b" is accepted at 100 ms
    And the engine reports at 1200 ms that it has accepted 0 orders
    Then the engine is known to be idle, with "a" loaded

  Scenario: A new run of the engine has not received the order
    When an order to load "b" is accepted at 100 ms
    And another run of the engine answers
    And the engine reports at 200 ms that it has accepted 0 orders
    Then the engine is known to be idle, with "a" loaded
