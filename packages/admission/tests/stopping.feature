Feature: An entry that is told to stop
  What it sends from then on ends before the entry does, or is refused while the caller can still go elsewhere.

  # Guards against requests that are taken after the stop signal, or wait then, and are cut off at the entry's end.
  Scenario: Nothing that is sent for the first time after the stop signal is cut off
    When random requests, paces, failures and loads of models are played around a stop signal
    Then no request that was first sent after the signal was cut off
    And no request waited until the entry's end
    And every request has one end, and those that the entry turned away did not run

  # Guards against a stop that refuses callers who are served in time.
  Scenario: Requests whose deadline comes before the end of the entry are sent until then
    Given an entry that is told to stop 8000 ms before its end
    When requests with a deadline of 3000 ms arrive 0, 4000, 5000 and 5500 ms after the signal
    Then those of 0, 4000 and 5000 ms were sent and the last one was refused

  # Guards against a stream that is given up although another upstream can finish it.
  Scenario: A request that was sent before the signal is sent again after it
    Given an entry that is told to stop 8000 ms before its end
    When a repeatable request with a deadline of 15000 ms is sent 500 ms before the signal and breaks after it
    Then it was sent twice and ended
