Feature: Connections to an upstream are given back
  An upstream accepts a limited number of connections of a gateway. Once no request is in progress, none of them counts as taken, however the requests ended.

  # Guards against a gateway that refuses all requests to an idle upstream, as connections of requests that have ended still count as open.
  Scenario Outline: A <method> request whose response <response> gives its connection back
    When an upstream sends a response that <response> to each of 10 <method> requests
    Then no connection to it is taken and no request waits for one
    And 4 requests at once are served

    Examples:
      | method | response                                         |
      | HEAD   | is whole                                         |
      | HEAD   | announces that the connection closes             |
      | GET    | announces that the connection closes             |
      | POST   | announces that the connection closes             |
      | GET    | announces the close, after which it closes       |
      | GET    | has no body and announces the close              |
      | HEAD   | has no length and announces the close            |
      | GET    | is a rejection that announces the close          |
      | GET    | is of another request and announces the close    |
      | GET    | has a status of no response, with the close      |
      | GET    | ends inside an event and announces the close     |
      | POST   | arrives before the body is read                  |
      | POST   | arrives before the body is read, with the close  |
      | GET    | follows 20 interim responses                     |
      | GET    | switches protocols                               |
      | GET    | is not HTTP                                      |

  # Guards against idle connections that nobody will use again and that take up places at an upstream, each time that it leaves the directory and comes back.
  Scenario: The connections to an upstream that has left are closed once their requests have ended
    When an upstream leaves the directory while 3 of its 4 connections are in use
    Then it serves the 3 requests, and all 4 connections are closed

  # Guards against a connection of a caller or an upstream that never reports its close, so that it counts as open for ever.
  Scenario: A connection that is reset while it is being shut down reports its close
    When a connection to an upstream is reset while it is being shut down
    Then the connection reports its close within 1000 ms

  # Guards against endings, and orders of endings, that the examples above do not cover.
  Scenario: After random histories of requests no connection is taken
    When 60 random histories of 40 requests are played, each with an upstream of 4 connections
    Then after each of them no connection is taken, no request waits for one, and 4 requests at once are served
