Feature: Admission of an entry that is told to stop
  A stopping entry sends only requests that end before it does. It refuses all others while their callers can still go to another entry.

  # Guards against requests that arrive or wait after the stop signal and are aborted when the entry ends.
  Scenario: No request that is first sent after the stop signal is aborted
    When random requests, durations, failures and model loads are simulated around a stop signal
    Then no request that was first sent after the signal was aborted
    And no request waited until the entry's end
    And every request has one end, and those that the stopping entry refused as not run did not run

  # Guards against a stop that refuses requests which would end in time.
  Scenario: Requests whose deadline comes before the end of the entry are sent until then
    Given an entry that is told to stop 8000 ms before its end
    When requests with a deadline of 3000 ms arrive 0, 4000, 5000 and 5500 ms after the signal
    Then those of 0, 4000 and 5000 ms were sent and the last one was refused

  # Guards against giving up a stream that another upstream can finish.
  Scenario: A request that was sent before the signal is sent again after it
    Given an entry that is told to stop 8000 ms before its end
    When a repeatable request with a deadline of 15000 ms is sent 500 ms before the signal and breaks after it
    Then it was sent twice and ended
