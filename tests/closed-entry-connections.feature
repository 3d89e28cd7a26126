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
