Feature: What a leader tells its followers of engines
  The load is that of 84 engines which each swap a model twice a second, before 160 followers that report twice a second: an installation
  of 84 engines with sidecars and 70 gateways, whose models are mostly rare. Told at once, each swap was a message to every follower.

  Scenario: What engines hold is told together
    Given a leader with 160 followers and 84 engines
    When the engines swap models for 5 seconds
    Then each follower was sent at most 11 messages
    And the directory was encoded at most 20 times

  Scenario: A drain is told at once
    Given a leader with 160 followers and 84 engines
    When an engine announces that it leaves
    Then each follower knows it within 50 ms

  Scenario: The process that orders an engine from another machine hears at once what it announces
    Given a leader with 160 followers and 84 engines
    And follower 7 orders engine 3
    When engine 3 announces that it holds "other"
    Then follower 7 knows it within 20 ms
    And no other follower was sent anything

  Scenario: Calls are answered between the messages to many followers
    Given a leader with 160 followers and 84 engines
    When an engine announces that it leaves
    Then no turn of the loop sent more than 32 messages

  Scenario: Followers end with what the engines announced
    Given a leader with 4 followers and 6 engines
    When 40 random histories of announcements, drains and reports are played
    Then each follower holds what the leader's directory holds
