Feature: Calls to upstreams that are given up
  What is no longer wanted must not be carried out later.

  # Guards against an order or a request that its upstream gets, and carries out, long after it was given up.
  Scenario Outline: A call that is given up is taken back from its upstream
    When <call> is given up before its upstream answers
    Then it ends as "<end>", and its upstream sees the connection reset

    Examples:
      | call                      | end                       |
      | a sidecar's order         | unknown no answer in time |
      | an agent's order          | unknown                   |
      | a request of an agent     | 3003 unknown              |
