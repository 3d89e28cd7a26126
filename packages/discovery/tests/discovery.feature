Feature: Discovery
  Announcements may arrive late, twice or out of order; the newest announcement of an upstream applies.

  Scenario: A late announcement does not undo a newer one
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "a" announces itself as "draining" with sequence 6
    And upstream "a" announces itself as "ready" with sequence 4
    Then upstream "a" is "draining"

  Scenario: A draining upstream does not become ready again
    Given upstream "a" at "10.0.0.1:80" announced itself as "draining" with sequence 5
    When upstream "a" announces itself as "ready" with sequence 6
    Then upstream "a" is "draining"

  Scenario: A departed run is not restored by a later announcement
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "a" departs
    And upstream "a" announces itself as "ready" with sequence 9
    Then upstream "a" is "gone"

  Scenario: Another run at the same address replaces the previous one
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "b" at "10.0.0.1:80" announced itself as "ready" with sequence 1
    Then upstream "a" is "gone"
    And upstream "b" is "ready"

  Scenario: A run that was marked as replaced is restored by its next announcement
    Given upstream "b" at "10.0.0.1:80" announced itself as "ready" with sequence 1
    When upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 7
    Then upstream "b" is "gone"
    When upstream "b" announces itself as "ready" with sequence 2
    Then upstream "b" is "ready"
    And upstream "a" is "gone"

  Scenario: A replaced run that departs is not restored
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "b" at "10.0.0.1:80" announced itself as "ready" with sequence 1
    And upstream "a" departs
    And upstream "a" announces itself as "ready" with sequence 9
    Then upstream "a" is "gone"
    And upstream "b" is "ready"

  Scenario: A silent upstream is usable again after its next announcement
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When 10000 ms pass without announcements
    Then upstream "a" is "silent"
    When upstream "a" announces itself as "ready" with sequence 6
    Then upstream "a" is "ready"

  Scenario: An announcement without changes is not sent to followers
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    When upstream "a" announces itself as "ready" with sequence 6
    Then 0 changes are sent to followers

  Scenario: A follower keeps upstreams that a new leader has not listed yet, for a limited time
    Given a directory copy with upstreams "a, b" of leader "one"
    When leader "two" sends a complete update with upstreams "a"
    Then the directory copy contains "a, b"
    When 9000 ms pass without an update
    Then the directory copy contains "a"

  Scenario: An update of a new leader with another run at an address removes the unconfirmed run there
    Given a directory copy with upstreams "a, b" of leader "one"
    When leader "two" sends an update with upstream "c" at the address of "a"
    Then the directory copy contains "b, c"

  Scenario: A draining upstream stays draining when a new leader reports it as ready
    Given a directory copy with upstreams "a" of leader "one"
    When leader "one" sends an update that "a" is "draining"
    And leader "two" sends an update that "a" is "ready"
    Then the directory copy contains "a" as "draining"

  Scenario: Random announcements in any order lead to the same state as in their original order
    When 300 shuffled histories of announcements are tried
    Then each ends in the state of its newest announcement

  Scenario: The announcement of an upstream that restarts under the same id is accepted at once
    Given upstream "a" born at 1000 announced itself as "ready" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    Then the run of "a" born at 2000 is "ready"
    And the run of "a" born at 1000 is "gone"
    And 2 changes are sent to followers

  Scenario: A run is not affected by the draining or departure of an earlier run with the same id
    Given upstream "a" born at 1000 announced itself as "draining" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    Then the run of "a" born at 2000 is "ready"
    When the run of "a" born at 2000 departs
    And upstream "a" born at 3000 announces itself as "ready" with sequence 1
    Then the run of "a" born at 3000 is "ready"

  Scenario: A late announcement of an earlier run is ignored
    Given upstream "a" born at 2000 announced itself as "ready" with sequence 1
    When upstream "a" born at 1000 announces itself as "draining" with sequence 50
    Then the run of "a" born at 2000 is "ready"
    And the run of "a" born at 1000 is unknown

  Scenario: An announcement of an earlier run is ignored although that run was once the newest
    Given upstream "a" born at 1000 announced itself as "ready" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    And upstream "a" born at 1000 announces itself as "ready" with sequence 51
    Then the run of "a" born at 1000 is "gone"
    And the run of "a" born at 2000 is "ready"

  Scenario: A late departure of an earlier run does not affect the newest run
    Given upstream "a" born at 2000 announced itself as "ready" with sequence 1
    When the run of "a" born at 1000 departs
    Then the run of "a" born at 2000 is "ready"

  Scenario: A departure without a run applies to the newest run
    Given upstream "a" born at 1000 announced itself as "ready" with sequence 50
    When upstream "a" born at 2000 announces itself as "ready" with sequence 1
    And upstream "a" departs
    Then the run of "a" born at 2000 is "gone"

  Scenario: A follower ignores an earlier run that a new leader reports
    Given a directory copy with the run of "a" born at 2000
    When leader "two" sends an update with the run of "a" born at 1000
    Then the directory copy contains "a@2000"
    When leader "two" sends an update with the run of "a" born at 3000
    Then the directory copy contains "a@3000"

  Scenario: Random announcements of several runs leave the newest run in the state of its newest announcement
    When 300 shuffled histories of announcements of several runs are tried
    Then each ends in the state of its newest announcement

  # Guards against a new leader that takes a working upstream away, as another run drained at its address before.
  Scenario: A drain that a new leader knows from an earlier term leaves other upstreams as they are
    Given a directory copy with upstreams "a, b" of leader "one"
    When leader "two" sends an update with the draining upstream "c" at the address of "a"
    Then the directory copy contains "a, b, c"

  # Guards against an observation that erases a declaration: a draining upstream that fell silent was used again.
  Scenario Outline: The leader and a follower keep what an upstream has declared: <before>, then <event>
    Given upstream "a" at "10.0.0.1:80" announced itself as "ready" with sequence 5
    And a directory copy that follows the directory
    When upstream "a" is <before>
    And upstream "a" is <event>
    Then upstream "a" is "<after>" in the directory and "<copied>" in the copy

    Examples:
      | before   | event                     | after    | copied   |
      | ready    | silent                    | silent   | silent   |
      | ready    | draining                  | draining | draining |
      | ready    | gone                      | gone     | unknown  |
      | silent   | ready                     | ready    | ready    |
      | silent   | draining                  | draining | draining |
      | silent   | gone                      | gone     | unknown  |
      | draining | ready                     | draining | draining |
      | draining | silent                    | draining | draining |
      | draining | replaced and then ready   | draining | draining |
      | draining | gone                      | gone     | unknown  |
      | gone     | ready                     | gone     | unknown  |
      | gone     | silent                    | gone     | unknown  |
      | gone     | draining                  | gone     | unknown  |
