Feature: Answers of our own that are broken off
  A caller that has got a part of an answer can tell it from the whole one.

  # Guards against callers for whom nothing but a reset tells that an answer was broken off.
  Scenario Outline: A caller of HTTP <version> sees that <answer> was broken off
    When a caller of HTTP <version> gets a part of "<answer>", which is then broken off
    Then the caller sees <sight>

    Examples:
      | version | answer                              | sight         |
      | 1.0     | an answer of a gateway              | a reset       |
      | 1.0     | a gateway's stream that is not taken | a reset       |
      | 1.0     | an entry's stream that is not taken  | a reset       |
      | 1.1     | an answer of a gateway              | no last chunk |

  # Guards against an unfinished event that the error event after it completes.
  Scenario: An entry's stream that breaks inside an event ends with its last whole event and an error
    When an entry passes on "data: a\n\ndata: b" of a stream that then breaks
    Then its caller sees "data: a\n\n" and an error event
