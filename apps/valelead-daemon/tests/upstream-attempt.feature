Feature: One attempt to send a request to an upstream
  Only the complete response to this request counts, and the reported outcome states no more about its execution than was observed.

  Scenario Outline: How an answer ends
    When an upstream answers with "<answer>"
    Then the sending ends as "<end>"

    Examples:
      | answer                              | end          |
      | whole                               | whole        |
      | chunks                              | whole        |
      | unframed, closed                    | whole        |
      | unframed, reset with its last bytes | 3005 unknown |
      | chunks, closed in the middle        | 3005 unknown |
      | length, closed in the middle        | 3005 unknown |
      | not http                            | 3003 unknown |
      | nothing, closed                     | 3003 unknown |
      | of another request                  | 3010 unknown |
      | refused before running              | 3004 not_run |
      | another upstream                    | 3007 not_run |

  # Guards against a gateway that ends, with all requests in progress there, as it forwards a status that HTTP doesn't have.
  Scenario Outline: A status that no response may have
    When an upstream answers with "<answer>"
    Then the sending ends as "3010 unknown"

    Examples:
      | answer     |
      | status 000 |
      | status 099 |
      | status 600 |

  # Guards against a request that may run once and is sent again, as a late rejection of another request is taken for its own.
  Scenario Outline: A rejection of another request says nothing of this one
    When an upstream answers with "<answer>"
    Then the sending ends as "3010 unknown"

    Examples:
      | answer                                |
      | a rejection of another request        |
      | a late 421 of another request         |
      | a rejection that names no request     |

  Scenario: Nobody listens
    When nobody listens at the upstream's address
    Then the sending ends as "3008 not_run"

  # Guards against a request that reaches its upstream after the caller has disconnected: a closed connection still delivers the data sent before.
  Scenario Outline: The connection of an attempt that is given up is reset
    When an attempt is <ended> before its upstream answers
    Then the upstream sees its connection reset

    Examples:
      | ended              |
      | cancelled          |
      | given up as silent |

  # Guards against a connection that is reset after the response on it was complete, and perhaps while the next request is in progress on it.
  Scenario: A connection outlives the requests that were answered on it
    When an upstream answers 5 requests, one after the other
    Then all answers were whole, and they came on 1 connection that nobody reset

  Scenario: A surplus response on a kept connection is not taken as the response to the next request
    When an upstream sends two answers to the first of two requests on one connection
    Then the second request gets its own answer on a new connection

  Scenario: A stream is split into complete events
    When the pieces "id: 1\ndata: a\n|\nid: 2\nda|ta: b\n\nid: 3\ndata" of a stream arrive
    Then the events passed on are "id: 1\ndata: a\n\n|id: 2\ndata: b\n\n" and the last id is "2"

  # Guards against a caller that holds events of a stream whose beginning nobody will know once its gateway has ended.
  Scenario: The first events of a stream wait until it is recorded where the stream began
    When the events "id: 1\ndata: a\n\n|id: 2\ndata: b\n\n" of a stream arrive before its beginning is recorded
    Then the caller gets "" and the last forwarded id is "none"
    When its beginning is recorded and "id: 3\ndata: c\n\n" arrives
    Then the caller gets "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" and the last forwarded id is "3"

  # Guards against a stream that is not sent again, or is tied to its upstream, though its caller has got nothing but comments.
  Scenario: A comment does not begin a stream
    When the events ": alive\n\n" of a stream arrive before its beginning is recorded
    Then the caller gets ": alive\n\n", no event has been forwarded and nothing is recorded

  # Guards against callers that time out during a long prefill because the gateway withholds the comments that the engine sends meanwhile.
  Scenario: A comment of a stream that can be resumed is forwarded before the next event
    When the pieces ": alive\n\n|id: 1\ndata: a\n\n|: alive\n\n" of a stream arrive
    Then the events passed on are ": alive\n\n|id: 1\ndata: a\n\n|: alive\n\n" and the last id is "1"

  # Guards against callers that receive each event only with the next one, as the final line feed of the event is withheld until then.
  Scenario: An event whose lines end with CRLF is forwarded with its last line feed
    When the pieces "id: 1\r\ndata: a\r\n\r\n|id: 2\r\ndata: b\r\n\r|\nid: 3\r\n" of a stream arrive
    Then the events passed on are "id: 1\r\ndata: a\r\n\r\n|id: 2\r\ndata: b\r\n\r|\n" and the last id is "2"

  # Guards against a caller that takes the byte order mark of a second engine's stream for a part of a field name and so loses that line.
  Scenario: A stream that is resumed on a second engine has no byte order mark in its middle
    When "\uFEFFid: 1\ndata: a\n\nid: 2\nda" of a stream is passed on and it goes on with "\uFEFFid: 2\ndata: b\n\n"
    Then the caller gets "\uFEFFid: 1\ndata: a\n\nid: 2\ndata: b\n\n"

  Scenario: Hop-by-hop headers are not forwarded
    When the headers "Host: a|Connection: keep-alive, X-Mine|X-Mine: 1|X-Other: 2|Transfer-Encoding: chunked|Content-Length: 3" are passed on
    Then these remain: "Host: a|X-Other: 2"

  Scenario: All gateways together stay within the installation's retry budget
    When 7 gateways share a reserve of 58 retries and a ratio of 0.2
    Then together they start with less than 58 retries and earn less than 0.2 for a request
