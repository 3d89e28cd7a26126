Feature: Connections that wait for their callers to close
  Input of closing connections is discarded until their callers close, on a bounded number of connections.

  # Guards against descriptors that run out: connections that are closed at once passed the limit, and none was evicted any more.
  Scenario: Callers that never close occupy a bounded number of connections although all are closed at once
    Given a server with 700 idle connections whose callers never close
    When the server closes its idle connections
    Then 512 connections are open

  # Guards against input that stays unread because back-pressure had stopped reading: it resets the connection, and the caller's close is not noticed.
  Scenario: A caller is noticed to close although its body was not read before its connection was closed
    Given a server that answers without reading bodies and closes its connections
    When a caller sends a body of 6000000 bytes and closes after its answer
    Then 0 connections are open
