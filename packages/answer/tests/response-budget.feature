Feature: The memory of all responses of a process
  All responses share one budget, and the largest is ended first.

  # Guards against ending small responses, or none, while a response without end fills the memory.
  Scenario: The largest response is ended once all together exceed the budget
    Given a budget of 100 bytes
    When the responses hold "a 30, b 50, c 20" bytes
    Then none is to be ended
    When the responses hold "c 21" bytes
    Then "b" is to be ended
    When the responses hold "b 0, a 100" bytes
    Then "a" is to be ended

  # Guards against counts that drift from what is held, so that the budget is exceeded or nothing may be held any more.
  Scenario: Random responses never hold more than the budget once the named ones have ended
    When random responses grow and end at random within a budget
    Then what all hold never exceeds the budget, and the total is that of what they hold
