Feature: Directory updates from the leader to its followers
  The load is that of 84 engines which each swap a model twice a second, with 160 followers that report twice a second: an installation
  of 84 engines with sidecars and 70 gateways, whose models are mostly rare. Without batching, each swap sent a message to every follower.

  Scenario: Changes of the models on engines are sent in batches
    Given a leader with 160 followers and 84 engines
    When the engines swap models for 5 seconds
    Then each follower was sent at most 11 messages
    And the directory was encoded at most 20 times

  Scenario: A drain is sent immediately
    Given a leader with 160 followers and 84 engines
    When an engine announces that it is draining
    Then each follower has the change within 50 ms

  Scenario: A process that manages an engine on another machine receives its announcements immediately
    Given a leader with 160 followers and 84 engines
    And follower 7 manages engine 3
    When engine 3 announces model "other"
    Then follower 7 has the change within 20 ms
    And no other follower has the change

  Scenario: Updates to many followers leave the event loop free for calls
    Given a leader with 160 followers and 84 engines
    When an engine announces that it is draining
    Then no iteration of the event loop sent more than 32 messages

  Scenario: Followers end with the same directory as the leader
    Given a leader with 4 followers and 6 engines
    When 40 random sequences of announcements, drains and reports are run
    Then each follower has the same directory as the leader
