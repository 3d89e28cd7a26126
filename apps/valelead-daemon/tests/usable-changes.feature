Feature: Upstreams that a leader of an earlier build announces to its followers
  Leaders of earlier builds accept addresses that no connection can be opened to.

  # Guards against followers that connect to such an address, or go on sending requests to an upstream that has changed to one.
  Scenario Outline: A follower does not know an upstream at <address>
    Given a follower that knows the upstreams "a" and "b"
    When a leader tells it that "b" has the address "<address>"
    Then the follower knows the upstreams "a"

    Examples:
      | address         |
      | 127.0.0.1:65536 |
      | 127.0.0.1:0     |
      | 999.1.1.1:80    |
      | a.example:80    |
