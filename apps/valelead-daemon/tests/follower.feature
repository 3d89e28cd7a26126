Feature: Followers of the leader
  Gateways and sidecars hold the newest routing and directory, also when the leader dies.

  Scenario: A follower leaves a leader that falls silent for the next one
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" falls silent and "b" takes over after 1500 ms with a newer routing
    Then the follower holds that routing within 1900 ms of the silence

  Scenario: A leader that only stood still is followed again
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" stands still for 1200 ms and goes on to lead
    Then the follower has a session at "a" within 2500 ms of the standstill

  Scenario: A voter that does not lead passes on what it knows to be committed
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "a"
    When "a" falls silent and "b" knows a newer routing but no leader
    Then the follower holds that routing within 1500 ms of the silence

  Scenario: A voter that names no leader for long is left for another one
    Given voters "a" and "b", of which "a" leads and "b" follows it
    And a follower with a session at "b", which is cut off and names no leader
    Then the follower has a session at "a" within 3500 ms of the start

  Scenario: An acknowledgement waits until the followers have confirmed
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader settles
    And "g1" confirms
    Then the leader is not settled
    When "g2" confirms
    Then the leader is settled

  Scenario: An acknowledgement does not wait for ever
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader settles
    And "g1" confirms
    And 350 ms pass
    Then the leader is settled

  Scenario: A follower that was silent before is not waited for
    Given a leader with followers "g1" and "g2"
    When 1200 ms pass
    And "g1" reports as before
    And a newer routing is committed and the leader settles
    And "g1" confirms
    Then the leader is settled

  Scenario: A leader that is silent about its directory is asked for no second reply
    Given a leader with followers "g1" and "g2"
    When a newer routing is committed and the leader settles
    And "g1" confirms
    Then "g1" was sent the routing once and nothing after its confirmation
