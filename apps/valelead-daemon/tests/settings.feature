Feature: Settings
  Every invalid setting is reported with its path, its value and the allowed values.

  Scenario: The examples have no faults
    Then every file in "examples" has no faults

  Scenario Outline: A fault is reported
    When "<path>" of the entry example is set to '<value>'
    Then the fault at "<fault>" found '<found>' and says '<allowed>'

    Examples:
      | path                  | value        | fault                        | found        | allowed          |
      | http.port             | 70000        | http.port                    | 70000        | between 1 and    |
      | role                  | "router"     | role                         | "router"     | "entry"          |
      | unknownKey            | 1            | unknownKey                   | 1            | excess           |
      | voter.policy.idleWeight | -1         | voter.policy.idleWeight      | -1           | between          |
      | controlAddresses      | ["here"]     | controlAddresses.0           | "here"       | RegExp           |
      | logLevel              | "loud"       | logLevel                     | "loud"       | "debug"          |
      | voter.listen          | "10.9.9.9:1" | voter.listen                 | "10.9.9.9:1" | controlAddresses |
      | voter.consensusHeartbeatMs | 400     | voter.consensusHeartbeatMs   | 400          | a third          |

  Scenario: The error table matches the code
    Then docs/ERRORS.md lists every result code as the code has it
