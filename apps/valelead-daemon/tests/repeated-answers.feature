Feature: Answers that arrive twice
  An upstream that sends an answer a second time, late, does not make another attempt look as if this were its answer.

  # Guards against a request that is refused as not run while it runs: the rejection of its first attempt came again during the second one.
  Scenario Outline: A second copy of a rejection is not the answer to the next attempt of the same request
    Given an upstream that sends each rejection a second time while the next request runs on the connection
    When a <method> request is rejected <times> and sent again with <connections> connections and <others> other requests in between
    Then the request is answered by the upstream and has run once
    And at most <opened> connections were opened

    Examples:
      | method | times   | connections | others | opened |
      | POST   | once    | 1           | 60     | 2      |
      | POST   | once    | 4           | 0      | 2      |
      | POST   | once    | 1           | 0      | 2      |
      | GET    | once    | 1           | 0      | 2      |
      | POST   | twice   | 4           | 0      | 3      |
      | POST   | twice   | 1           | 0      | 3      |
      | POST   | once    | 1           | 3      | 2      |

  # Guards against orders of answers and connections that the examples above do not cover, and against callers that use the same ids.
  Scenario: After random histories no request that was told as not run has run
    When 60 random histories of 40 requests with 6 ids are played at an upstream that sends answers a second time
    Then no attempt was told as not run although it ran, and none got the answer to another one
