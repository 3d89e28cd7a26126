Feature: Logs
  A log reader that stalls does not block the process.

  Scenario: A process whose log is not read continues and exits
    When a process writes 8 MB of log lines to a pipe that is not read
    Then it writes all of them without waiting, uses at most 40 MB more memory, and exits

  # Guards against a daemon that was stopped as planned and ends by a signal, because it stood still while its last log lines were written.
  Scenario: A process that stands still while its log is flushed exits with its status
    When a process that stands still for 700 ms flushes its log and exits
    Then it ended with status 0, and its last line is in the log

  # Guards against a process that ends by an error without a word in its log, or goes on after it.
  Scenario Outline: A process that ends by an error that nothing caught says so
    When a process logs a line and then meets "<an error>"
    Then it ended with status 1, and the last line in its log names the error

    Examples:
      | an error               |
      | a throw in a timer     |
      | a rejection            |
      | a value that is thrown |

  # Guards against a process that neither ends nor serves after an error, as its last line cannot be written.
  Scenario Outline: A process that ends by an error ends although the reader of its log <state>
    When a process meets an error with 800 lines in its log, whose reader <state>
    Then it ends within 15 seconds

    Examples:
      | state      |
      | has left   |
      | is stalled |
