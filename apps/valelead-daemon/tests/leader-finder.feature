Feature: Finding the leader from a controller that is not a voter
  A controller without a disk asks other controllers for the leader when a caller needs it. Their replies may be outdated.

  Background:
    Given a finder at "self" whose settings list "a, b"

  Scenario: A controller that reports itself as leader takes precedence over the reports of other controllers
    When "a" reports leader "a" and voters ""
    And "b" reports leader "c" and voters ""
    Then "a" is found

  Scenario: The report of a voter is used if the leader itself does not reply
    When "a" reports leader "c" and voters "a, b, c"
    And "b" is down
    And "c" is down
    Then "c" is found

  Scenario: No leader is found if no controller reports one
    When "a" reports leader "" and voters ""
    And "b" is down
    Then "" is found

  Scenario: A controller that does not reply within the call timeout is skipped
    When "a" does not reply
    And "b" reports leader "b" and voters ""
    Then "b" is found within 400 ms

  Scenario: No controller replies
    When "a" does not reply
    And "b" does not reply
    Then "" is found within 400 ms

  Scenario: A found leader is cached for 250 ms and then searched for again
    When "a" reports leader "a" and voters ""
    And "b" reports leader "a" and voters ""
    Then "a" is found
    When "a" is down
    And "b" reports leader "b" and voters ""
    Then "a" is found 249 ms later
    And "b" is found 1 ms later

  Scenario: The result that there is no leader is not cached
    When "a" reports leader "" and voters ""
    And "b" is down
    Then "" is found
    When "a" reports leader "a" and voters ""
    Then "a" is found

  Scenario: Callers at the same time share one search
    When "a" reports leader "a" and voters ""
    And "b" reports leader "a" and voters ""
    Then "a" is found for 5 callers at once, by 2 calls

  Scenario: Reported voters are remembered when those of the settings are down
    When "a" reports leader "a" and voters "a, c"
    And "b" is down
    And "c" reports leader "a" and voters ""
    Then "a" is found
    When "a" is down
    And "c" reports leader "c" and voters ""
    Then "c" is found 250 ms later

  Scenario: After a change of the settings the previous controllers are still asked
    When the settings list "d" from now on
    And "a" reports leader "a" and voters ""
    And "b" is down
    And "d" is down
    Then "a" is found

  Scenario: A finder does not ask itself
    When the settings list "self, a" from now on
    And "a" reports leader "a" and voters "self"
    And "b" is down
    Then "a" is found
    And it knows "a, b"

  Scenario: The latest reported controllers are remembered, up to a maximum number
    When 100 controllers announce themselves, the last one as the leader
    And "a" is down
    And "b" is down
    Then the last of them is found
    And it knows 66 controllers

  Scenario: Voters that a controller without a disk reports are asked in the same search
    When "a" reports leader "" and voters "c"
    And "b" is down
    And "c" reports leader "c" and voters ""
    Then "c" is found
