Feature: Known status of an engine on another machine
  What an engine tells is some hundred milliseconds old; no order is decided on a state from before the last order.

  Background:
    Given an engine that holds "a" tells at 0 ms that it has taken 0 orders

  Scenario: A state from before the last order is not decided on
    When an order to load "b" is taken at 100 ms
    And the engine tells at 200 ms that it has taken 0 orders
    Then nothing may be decided
    When the engine tells at 500 ms that it has taken 1 order and is busy
    Then it is known to be busy, with "a" loaded

  Scenario: An announcement that shows the end of the order is believed before older states
    When an order to load "b" is taken at 100 ms
    And the engine announces at 900 ms that it holds "a, b"
    Then it is known to be idle, with "a, b" loaded
    When the engine tells at 950 ms that it has taken 1 order and is busy
    Then it is known to be idle, with "a, b" loaded

  Scenario: An announcement from before the order shows nothing
    When an order to load "b" is taken at 100 ms
    And the engine announces at 120 ms that it holds "a"
    And the engine tells at 200 ms that it has taken 0 orders
    Then nothing may be decided

  Scenario: An unload is shown by the model that is missing
    When an order to unload "a" is taken at 100 ms
    And the engine announces at 140 ms that it holds ""
    Then it is known to be idle, with "" loaded

  Scenario: An order that shows nowhere is taken as lost after a while
    When an order to load "b" is taken at 100 ms
    And the engine tells at 1200 ms that it has taken 0 orders
    Then it is known to be idle, with "a" loaded

  Scenario: Another run of the engine knows nothing of the order
    When an order to load "b" is taken at 100 ms
    And another run of the engine answers
    And the engine tells at 200 ms that it has taken 0 orders
    Then it is known to be idle, with "a" loaded
