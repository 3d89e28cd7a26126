Feature: Requests that crash engines, in random histories
  A request that crashes every engine under which it begins, sent again by its caller to one gateway after the other. Leaders are lost and come back, voters
  and gateways stand still for up to five seconds or are cut off, and messages take up to a second.

  # Guards against: a fourth engine lost by a gateway that goes on by what it knew while the others cannot tell it, at any order of events.
  Scenario: Three engines are lost at most while one gateway at a time is away, and leaders come and go
    When a caller sends such a request for 25 seconds in 300 random histories
    Then at most 3 engines crashed in each of them
    And the request was refused at the end of each

  # Guards against: a leader that lets gateways send what had begun at a crash before any of them has told it of crashes.
  Scenario Outline: Three engines are lost at most when all voters stand still from crash <crash> on
    When a caller sends such a request for 25 seconds, and all voters stand still for up to 5000 ms from its crash <crash> on, in 300 random histories
    Then at most 3 engines crashed in each of them
    And the request was refused at the end of each

    Examples:
      | crash |
      | 1     |
      | 2     |
      | 3     |
