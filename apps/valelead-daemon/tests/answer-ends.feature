Feature: Where the answer of an upstream ends
  An answer that was broken off never looks whole, however its end is known.

  # Guards against an answer that its upstream broke off and that its caller takes for whole.
  Scenario Outline: An upstream's answer that is <answer> ends as <end>
    When an upstream sends an answer that is "<answer>"
    Then the answer ends as "<end>"

    Examples:
      | answer                                               | end   |
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

  # Guards against an upstream that crashed and is not looked at, and against one that is looked at though its connection lives.
  Scenario Outline: An upstream's answer that is <answer> leaves its connection <connection>
    When an upstream sends an answer that is "<answer>"
    Then the answer ends as "cut" and its connection is "<connection>"

    Examples:
      | answer                                              | connection |
      | a stream, unframed, closed inside an event          | broken     |
      | a stream, unframed, reset right after its head      | broken     |
      | a stream, in chunks, cut in the last chunk          | broken     |
      | a stream, in chunks, ended inside an event          | intact     |
      | a stream, with a length, ended inside an event      | intact     |

  # Guards against a place or a way of breaking off that nobody thought of.
  Scenario: A random stream that is broken off at any byte is never taken for whole
    When random streams are sent in each framing, broken off at each byte and in each way
    Then only those are taken for whole that ended outside an event in a complete framing, or with their connection after an event

  # Guards against an answer that an agent takes for whole and its gateway would not.
  Scenario Outline: The answer to an agent's request that is <answer> ends as <end>
    When an agent's upstream sends an answer that is "<answer>"
    Then the answer ends as "<end>"

    Examples:
      | answer                                         | end   |
      | unframed, reset right after its head           | cut   |
      | unframed, reset with its last bytes            | cut   |
      | unframed, closed in order                      | whole |
      | a stream, unframed, reset right after its head | cut   |
      | a stream, unframed, closed inside an event     | cut   |
      | a stream, unframed, closed between events      | whole |
      | a stream, in chunks, ended inside an event     | cut   |
      | a stream, in chunks, ended between events      | whole |

  # Guards against the state of an engine that is decoded from a part of what it said.
  Scenario Outline: A sidecar takes no status from an answer that is <answer>
    When an engine tells its status in an answer that is "<answer>"
    Then the sidecar takes none

    Examples:
      | answer                               |
      | unframed, reset with its last bytes  |
      | unframed, closed in the middle       |
      | unframed, reset right after its head |
