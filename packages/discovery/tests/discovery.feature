Feature: Discovery
  Announcements come late, twice and out of order; what an upstream said last holds.

  Scenario: A late announcement does not undo a newer one
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "a" announces itself as "draining" with sequence 6
    And upstream "a" announces itself as "ready" with sequence 4
    Then upstream "a" is "draining"

  Scenario: A drain is never taken back
    Given upstream "a" at "10.0.0.1:80" announced itself as "draining" with sequence 5
    When upstream "a" announces itself as "ready" with sequence 6
    Then upstream "a" is "draining"

  Scenario: What has left does not come back
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "a" departs
    And upstream "a" announces itself as "ready" with sequence 9
    Then upstream "a" is "gone"

  Scenario: Another run at the same address replaces the one before
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "b" at "10.0.0.1:80" announced itself as "ready" with sequence 1
    Then upstream "a" is "gone"
    And upstream "b" is "ready"

  Scenario: A run that only seemed to be replaced is back with its next announcement
    Given upstream "b" at "10.0.0.1:80" announced itself as "ready" with sequence 1
    When upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 7
    Then upstream "b" is "gone"
    When upstream "b" announces itself as "ready" with sequence 2
    Then upstream "b" is "ready"
    And upstream "a" is "gone"

  Scenario: A run that was replaced and departs does not come back
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "b" at "10.0.0.1:80" announced itself as "ready" with sequence 1
    And upstream "a" departs
    And upstream "a" announces itself as "ready" with sequence 9
    Then upstream "a" is "gone"
    And upstream "b" is "ready"

  Scenario: Silence is no departure
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When 10000 ms pass in silence
    Then upstream "a" is "silent"
    When upstream "a" announces itself as "ready" with sequence 6
    Then upstream "a" is "ready"

  Scenario: An announcement without news gives followers nothing to learn
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "a" announces itself as "ready" with sequence 6
    Then followers learn 0 changes since then

  Scenario: A new leader that has not heard an upstream yet does not take it away
    Given a follower that holds upstreams "a, b" of leader "one"
    When leader "two" tells it all that it knows, upstreams "a"
    Then the follower holds "a, b"
    When 9000 ms pass without more
    Then the follower holds "a"

  Scenario: A new leader that names the next run at an address takes the one before away
    Given a follower that holds upstreams "a, b" of leader "one"
    When leader "two" tells it of upstream "c" at the address of "a"
    Then the follower holds "b, c"

  Scenario: A follower keeps a drain that a new leader has not heard of
    Given a follower that holds upstreams "a" of leader "one"
    When leader "one" tells it that "a" is "draining"
    And leader "two" tells it that "a" is "ready"
    Then the follower holds "a" as "draining"

  Scenario: Random announcements in any order end as in their right order
    When 300 shuffled histories of announcements are tried
    Then each ends in the state of its newest announcement

  Scenario: An upstream that starts again under its id is heard at once
    Given upstream "a" born at 1000 announced itself as "ready" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    Then the run of "a" born at 2000 is "ready"
    And the run of "a" born at 1000 is "gone"
    And followers learn 2 changes since then

  Scenario: What was drained or left under an id does not weigh on the next run
    Given upstream "a" born at 1000 announced itself as "draining" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    Then the run of "a" born at 2000 is "ready"
    When the run of "a" born at 2000 departs
    And upstream "a" born at 3000 announces itself as "ready" with sequence 1
    Then the run of "a" born at 3000 is "ready"

  Scenario: A late announcement of an earlier run changes nothing
    Given upstream "a" born at 2000 announced itself as "ready" with sequence 1
    When upstream "a" born at 1000 announces itself as "draining" with sequence 50
    Then the run of "a" born at 2000 is "ready"
    And the run of "a" born at 1000 is unknown

  Scenario: An announcement of an earlier run that was taken for the newest is not believed again
    Given upstream "a" born at 1000 announced itself as "ready" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    And upstream "a" born at 1000 announces itself as "ready" with sequence 51
    Then the run of "a" born at 1000 is "gone"
    And the run of "a" born at 2000 is "ready"

  Scenario: A late departure of an earlier run takes nothing away
    Given upstream "a" born at 2000 announced itself as "ready" with sequence 1
    When the run of "a" born at 1000 departs
    Then the run of "a" born at 2000 is "ready"

  Scenario: A departure that names no run is of the newest one
    Given upstream "a" born at 1000 announced itself as "ready" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    And upstream "a" departs
    Then the run of "a" born at 2000 is "gone"

  Scenario: A new leader that heard only an earlier run does not bring it back at a follower
    Given a follower that holds the run of "a" born at 2000
    When leader "two" tells it of the run of "a" born at 1000
    Then the follower holds "a@2000"
    When leader "two" tells it of the run of "a" born at 3000
    Then the follower holds "a@3000"

  Scenario: Random announcements of several runs end in the newest run's newest state
    When 300 shuffled histories of announcements of several runs are tried
    Then each ends in the state of its newest announcement
