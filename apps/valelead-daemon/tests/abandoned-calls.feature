Feature: Calls to upstreams that are given up
  An upstream must not execute a call that its sender has given up.

  # Guards against an order or a request that its upstream receives and executes long after the sender gave it up.
  Scenario Outline: The connection of a call that is given up is reset
    When <call> is given up before its upstream answers
    Then it ends as "<end>", and its upstream sees the connection reset

    Examples:
      | call                      | end                       |
      | a sidecar's order         | unknown no answer in time |
      | an agent's order          | unknown                   |
      | a request of an agent     | 3003 unknown              |
