Feature: Connections that wait to be accepted
  A stopping server accepts the connections that wait, and no others.

  # Guards against processes that outlast their grace: callers that connect without a pause kept a stopping server accepting connections for ever.
  Scenario: A server stops accepting connections although one comes in each iteration of the event loop
    Given a server to which callers connect in each iteration of the event loop
    When it accepts the connections that wait
    Then it has accepted 511 connections

  # Guards against processes that outlast their grace because they are slow: the queue of connections takes longer than what is left of it.
  Scenario: A server accepts no connections that wait beyond the end of its grace
    Given a server to which callers connect in each iteration of the event loop
    When it accepts the connections that wait, for 0 ms
    Then it has accepted 2 connections
