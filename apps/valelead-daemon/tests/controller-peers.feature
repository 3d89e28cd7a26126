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
