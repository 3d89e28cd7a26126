Feature: Callers that do not read and engines that do not end
  A response that waits for its caller, and a call that waits for its engine, end after a time.

  # Guards against memory that is held for a caller that reads nothing, and against ending the response of one that reads slowly.
  Scenario: Only a caller that reads nothing for the whole time is disconnected
    Given a gateway that waits 1000 ms for callers
    When one caller reads nothing and another reads a byte each 600 ms, for 5000 ms
    Then only the first is disconnected

  # Guards against disconnecting callers for a time in which the gateway itself stood still and sent nothing.
  Scenario: The time of a suspension is not the caller's
    Given a gateway that waits 1000 ms for callers
    When a caller has read nothing for 400 ms and the gateway is suspended for 5000 ms
    Then no caller is disconnected

  # Guards against a sidecar that waits for one status without end, as bytes that arrive one by one keep the connection from being silent.
  Scenario Outline: A call to an engine that sends <data> without end fails
    When an engine sends "<data>" without end in place of its status
    Then the call fails within 4000 ms, and its connection is closed

    Examples:
      | data          |
      | single bytes  |
      | interim heads |
      | a large body  |
