Feature: What a voter learns of the other controllers
  The settings may name controllers without a disk, also only such ones. They name the voters that they know; after a start that may be nobody.

  Scenario: Voters that belong to a quorum are found through controllers without a disk
    Given a voter whose settings name "s1, s2"
    When "s1" is without a disk and names "v1, v2" after 0 ms
    And "s2" is without a disk and names "v1" after 0 ms
    And "v1" belongs to a quorum
    And "v2" is a voter without a quorum
    Then "s1, s2, v1" are found, of which "v1" can vote

  Scenario: What one names is not forgotten as another one, which answers later, names nobody
    Given a voter whose settings name "s1, s2"
    When "s1" is without a disk and names "v1" after 0 ms
    And "s2" is without a disk and names "" after 20 ms
    And "v1" belongs to a quorum
    Then "s1, s2, v1" are found, of which "v1" can vote

  Scenario: It asks to be let in where a controller without a disk says that the leader is
    Given a voter whose settings name "s1, s2"
    When "s1" is without a disk and names "" after 0 ms
    And a request to be let in at "s1" is answered with leader "v1"
    And a request to be let in at "s2" is answered with leader ""
    Then "s1, s2, v1" are asked to let it in, and the last one does
