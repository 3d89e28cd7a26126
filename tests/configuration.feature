Feature: Accepted configuration
  An accepted configuration is in force everywhere within seconds and never reverts.

  @point1
  Scenario: The leader is killed while operators send commands
    Given an installation with 0 engines and 0 services
    When 60 teams are created one by one while the leader is killed
    Then all 60 teams are listed and in force at every running entry
    And a resent command returns its first result

  @point1
  Scenario: Two operators race with equal revisions
    Given an installation with 0 engines and 0 services
    When two operators send different commands with the same expected revision
    Then one is accepted and the other is refused with code 4002

  @point1
  Scenario: The leader freezes and wakes
    Given an installation with 0 engines and 0 services
    When the leader freezes and 20 teams are created by its successor
    And the frozen leader wakes
    Then all 20 teams are listed and in force at every running entry

  @point1
  Scenario: A disk is lost, and a second one right after the repair
    Given an installation with 0 engines and 0 services
    When 10 teams are created
    And entry 1 loses its disk and comes back
    And entry 2 loses its disk and comes back
    Then all 10 teams are listed and in force at every running entry
    And the quorum has 3 voters, none of them a learner

  @point1
  Scenario: An entry restarts after hundreds of changes
    Given an installation with 0 engines and 0 services
    When entry 3 is killed, 400 teams are created, and it is started again
    Then all 400 teams are listed and in force at every running entry
