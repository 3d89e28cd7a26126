Feature: Finding the leader without a vote
  A controller without a disk asks controllers who leads when somebody wants to know. What it hears may be old.

  Background:
    Given a finder at "self" whose settings name "a, b"

  Scenario: The leader's own word counts for more than that of others
    When "a" names leader "a" and voters ""
    And "b" names leader "c" and voters ""
    Then "a" is found

  Scenario: A voter's word counts where the leader does not answer itself
    When "a" names leader "c" and voters "a, b, c"
    And "b" is down
    And "c" is down
    Then "c" is found

  Scenario: Nobody is found where no controller names a leader
    When "a" names leader "" and voters ""
    And "b" is down
    Then "" is found

  Scenario: A controller that does not answer is left out after a while
    When "a" is silent
    And "b" names leader "b" and voters ""
    Then "b" is found within 400 ms

  Scenario: All are silent
    When "a" is silent
    And "b" is silent
    Then "" is found within 400 ms

  Scenario: An answer is passed on for a while, and then asked for again
    When "a" names leader "a" and voters ""
    And "b" names leader "a" and voters ""
    Then "a" is found
    When "a" is down
    And "b" names leader "b" and voters ""
    Then "a" is found 249 ms later
    And "b" is found 1 ms later

  Scenario: That nobody leads is not passed on
    When "a" names leader "" and voters ""
    And "b" is down
    Then "" is found
    When "a" names leader "a" and voters ""
    Then "a" is found

  Scenario: Callers at the same time share one search
    When "a" names leader "a" and voters ""
    And "b" names leader "a" and voters ""
    Then "a" is found for 5 callers at once, by 2 calls

  Scenario: Voters that were named are remembered when those of the settings are gone
    When "a" names leader "a" and voters "a, c"
    And "b" is down
    And "c" names leader "a" and voters ""
    Then "a" is found
    When "a" is down
    And "c" names leader "c" and voters ""
    Then "c" is found 250 ms later

  Scenario: Changed settings are taken, and those named before are still asked
    When the settings name "d" from now on
    And "a" names leader "a" and voters ""
    And "b" is down
    And "d" is down
    Then "a" is found

  Scenario: It does not ask itself
    When the settings name "self, a" from now on
    And "a" names leader "a" and voters "self"
    And "b" is down
    Then "a" is found
    And it knows "a, b"

  Scenario: The latest of those that were named are remembered, and no more than a bound
    When 100 controllers announce themselves, the last one as the leader
    And "a" is down
    And "b" is down
    Then the last of them is found
    And it knows 66 controllers

  Scenario: Voters that a controller without a disk names are asked in the same search
    When "a" names leader "" and voters "c"
    And "b" is down
    And "c" names leader "c" and voters ""
    Then "c" is found
