Feature: Detection of truncated responses
  A truncated response is never accepted as complete, however its body is delimited.

  # Guards against a response that the upstream did not finish and that the caller accepts as complete.
  Scenario Outline: An upstream's response that is <response> ends as <end>
    When an upstream sends a response that is "<response>"
    Then the response ends as "<end>"

    Examples:
      | response                                             | end   |
      | unframed, reset right after its head                 | cut   |
      | unframed, closed in order                            | whole |
      | unframed and empty, closed in order                  | whole |
      | unframed, reset some time after its last byte        | cut   |
      | a stream, unframed, reset right after its head       | cut   |
      | a stream, unframed, closed right after its head      | cut   |
      | a stream, unframed, closed some time after its head  | cut   |
      | a stream, unframed, closed inside an event           | cut   |
      | a stream, unframed, closed between events            | whole |
      | a stream, unframed, closed after a comment           | whole |
      | a stream, unframed, closed inside a comment          | cut   |
      | a stream, unframed, CRLF, closed between events      | whole |
      | a stream, unframed, CRLF, closed inside an event     | cut   |
      | a stream, unframed, CR, closed between events        | whole |
      | a stream, unframed, CR, closed inside an event       | cut   |
      | a stream, unframed, with a byte order mark           | whole |
      | a stream, in chunks, ended inside an event           | cut   |
      | a stream, in chunks, ended between events            | whole |
      | a stream, in chunks, ended without an event          | whole |
      | a stream, in chunks, cut in the last chunk           | cut   |
      | a stream, with a length, ended inside an event       | cut   |
      | a stream, with a length, ended between events        | whole |
      | without a body, as its status says                   | whole |
      | unframed, reset with bytes that follow its head      | cut   |
      | a stream, unframed, reset with its last event        | cut   |
      | a stream, in a type of other case, inside an event   | cut   |
      | a stream, not compressed as it says, inside an event | cut   |
      | a stream without a body, as its status says          | whole |
      | a stream that has not changed, as its status says    | whole |
      | a compressed stream, in chunks, ended in order       | whole |
      | a stream, in a coding without chunks, reset          | cut   |
      | a stream, in a coding without chunks, closed         | cut   |
      | unframed, one full buffer, closed in order           | whole |
      | unframed, one full buffer, reset                     | cut   |

  # Guards against a crash of an upstream that goes unnoticed, and against suspecting a crash while the connection is intact.
  Scenario Outline: An upstream's response that is <response> leaves its connection <connection>
    When an upstream sends a response that is "<response>"
    Then the response ends as "cut" and its connection is "<connection>"

    Examples:
      | response                                            | connection |
      | a stream, unframed, closed inside an event          | broken     |
      | a stream, unframed, reset right after its head      | broken     |
      | a stream, in chunks, cut in the last chunk          | broken     |
      | a stream, in chunks, ended inside an event          | intact     |
      | a stream, with a length, ended inside an event      | intact     |

  # Guards against an upstream that stops in the middle of its response head, after which callers get an empty or short body as a whole response.
  Scenario: A response head that breaks off at any byte is never accepted as a response
    When heads of each kind are sent and break off at each byte, in one part or in two
    Then none of them is accepted as complete or as a refusal

  # Guards against positions and kinds of truncation that the examples above do not cover.
  Scenario: A random stream that is truncated at any byte is never accepted as complete
    When random streams are sent in each framing, truncated at each byte and in each way
    Then only streams that ended outside an event in a complete framing, or with their connection after an event, are accepted as complete

  # Guards against an agent that accepts a response as complete although its gateway would not.
  Scenario Outline: The response to an agent's request that is <response> ends as <end>
    When an agent's upstream sends a response that is "<response>"
    Then the response ends as "<end>"

    Examples:
      | response                                       | end   |
      | unframed, reset right after its head           | cut   |
      | unframed, reset with its last bytes            | cut   |
      | unframed, closed in order                      | whole |
      | a stream, unframed, reset right after its head | cut   |
      | a stream, unframed, closed inside an event     | cut   |
      | a stream, unframed, closed between events      | whole |
      | a stream, in chunks, ended inside an event     | cut   |
      | a stream, in chunks, ended between events      | whole |

  # Guards against an entry that ends as it forwards a status that HTTP doesn't have.
  Scenario: A response to an agent's request has a status that no response may have
    When an agent's upstream sends a response that is "whole, with a status that no response may have"
    Then the agent's request fails with "3003 unknown"

  # Guards against decoding an engine's status from a truncated response.
  Scenario Outline: A sidecar rejects a status in a response that is <response>
    When an engine sends its status in a response that is "<response>"
    Then the sidecar rejects the status

    Examples:
      | response                             |
      | unframed, reset with its last bytes  |
      | unframed, closed in the middle       |
      | unframed, reset right after its head |
