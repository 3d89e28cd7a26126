Feature: Connections that an entry closes
  A close takes back no answer, and no call runs whose answer could not be sent any more.

  Background:
    Given an installation with 1 engines and 1 service whose calls take 400 ms

  # Guards against a stopping entry that closes the connection with the first answer, although the calls behind it run.
  Scenario Outline: Calls that come together are all answered by an entry that gets SIGTERM <when>
    When a caller sends entry 1 4 calls together, and the entry gets SIGTERM <when>
    Then 4 calls are answered with status 200, and the last answer closes the connection
    And no call has run without an answer

    Examples:
      | when          |
      | 300 ms before |
      | 200 ms later  |

  # Guards against a 400 of Node's own in place of the answer to a call that is running.
  Scenario: A call that is running at an entry gets its own answer although no HTTP follows it
    When a caller sends entry 1 a call, and then no HTTP
    Then 1 calls are answered with status 200, and the last answer closes the connection
    And no call has run without an answer

  # Guards against callers that do not learn why they were disconnected, because they were still sending.
  Scenario Outline: A caller that reads late is told <status> by an entry although it is still sending
    When a caller that does not read calls entry 1 and sends <input> of 3000000 bytes
    Then 1 calls are answered with status <status>, and the last answer closes the connection

    Examples:
      | input   | status |
      | a head  | 431    |
      | no HTTP | 400    |
