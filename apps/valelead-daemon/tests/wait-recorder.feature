Feature: Records of how requests have waited
  A gateway measures the time waited by class and stage, and logs requests that were overdue.

  # Guards against a log that grows with the overload, and against overdue requests that are not counted.
  Scenario: Overdue requests are all measured, and logged twice a second at most
    When a gateway records 100 overdue dispatches, 10 ms after each other, and one in time
    Then 2 lines "request-overdue" are logged, with the ids of the callers, and with 0 and 49 omitted requests
    And the histogram has 100 requests of stage "late" and 1 of stage "due"
