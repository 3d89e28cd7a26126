Feature: Responses that are aborted
  A caller that received a part of a response can distinguish it from a complete response.

  # Guards against callers that take an aborted response for complete: with HTTP 1.0 only a reset of the connection shows the difference.
  Scenario Outline: A caller of HTTP <version> sees that <answer> was aborted
    When a caller of HTTP <version> gets a part of "<answer>", which is then aborted
    Then the caller sees <sight>

    Examples:
      | version | answer                              | sight         |
      | 1.0     | an answer of a gateway              | a reset       |
      | 1.0     | a gateway's stream that is not taken | a reset       |
      | 1.0     | an entry's stream that is not taken  | a reset       |
      | 1.1     | an answer of a gateway              | no last chunk |

  # Guards against an incomplete event that the error event after it completes by accident.
  Scenario: An entry's stream that fails inside an event ends with its last complete event and an error
    When an entry forwards "data: a\n\ndata: b" of a stream that then fails
    Then its caller sees "data: a\n\n" and an error event
