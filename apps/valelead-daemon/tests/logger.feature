Feature: Logs
  A reader of the logs that stalls holds up nothing.

  Scenario: A process whose log nobody reads goes on and ends
    When a process writes 8 MB of log lines to a pipe that nobody reads
    Then it writes all of them without waiting, holds at most 40 MB more for them, and ends
