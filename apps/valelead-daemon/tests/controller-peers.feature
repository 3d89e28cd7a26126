Feature: Discovery of the other controllers by a voter
  The settings may list controllers without a disk, even only such ones. These report the voters that they know, which may be none after a start.

  Scenario: Voters that belong to a quorum are found through controllers without a disk
    Given a voter whose settings list "s1, s2"
    When "s1" has no disk and reports the voters "v1, v2" after 0 ms
    And "s2" has no disk and reports the voters "v1" after 0 ms
    And "v1" belongs to a quorum
    And "v2" is a voter without a quorum
    Then "s1, s2, v1" are found, of which "v1" can vote

  Scenario: Reported voters are kept when another controller, which replies later, reports none
    Given a voter whose settings list "s1, s2"
    When "s1" has no disk and reports the voters "v1" after 0 ms
    And "s2" has no disk and reports the voters "" after 20 ms
    And "v1" belongs to a quorum
    Then "s1, s2, v1" are found, of which "v1" can vote

  Scenario: A voter sends its join request to the leader that a controller without a disk reports
    Given a voter whose settings list "s1, s2"
    When "s1" has no disk and reports the voters "" after 0 ms
    And a join request to "s1" returns the leader "v1"
    And a join request to "s2" returns the leader ""
    Then "s1, s2, v1" receive a join request, and the last one admits the voter

  # Guards against a voter that is outside the quorum for as long as the controllers of its settings are outside it too.
  Scenario: A voter sends its join request to the voters in its log when no controller of the settings knows a leader
    Given a voter whose settings list "v1, v2"
    When the log of the voter lists "v1, v2, v3, self"
    And a join request to "v1" returns the leader ""
    And a join request to "v2" returns the leader ""
    And a join request to "v3" returns the leader "v4"
    Then "v1, v2, v3, v4" receive a join request, and the last one admits the voter
