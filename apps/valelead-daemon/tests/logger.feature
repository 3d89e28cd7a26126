Feature: Logs
  A log reader that stalls does not block the process.

  Scenario: A process whose log is not read continues and exits
    When a process writes 8 MB of log lines to a pipe that is not read
    Then it writes all of them without waiting, uses at most 40 MB more memory, and exits
