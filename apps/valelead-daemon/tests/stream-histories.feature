Feature: Streams that are resumed anywhere, in random fault histories
  Upstreams of several services and software versions come and go. Gateways and the voters that remember where streams began are killed, suspended and cut
  off from each other, and messages are delayed or lost. Callers resume their streams at any gateway, several times.

  # Guards against a stream that goes on at another service or software version than began it, at any order of events, and against gateways that refuse resumed
  # streams although the upstreams that could continue them serve.
  Scenario Outline: Resumed streams go on where they began, nearly as often as new ones begin, in histories <first> to <last>
    When callers stream for 12 seconds in random histories <first> to <last>
    Then no caller holds events of two services or software versions
    And every caller holds each event once and in order
    And of the streams resumed in touch, at least half the share goes on of the new streams that begin in touch

    Examples:
      | first | last |
      | 1     | 40   |
      | 41    | 80   |
      | 81    | 120  |

  @off
  Scenario: Without the memory of where streams began, callers hold events of several versions
    When callers stream for 12 seconds in random histories 1 to 10 without the memory of where streams began
    Then some callers hold events of two services or software versions
