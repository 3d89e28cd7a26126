Feature: Input after a request that is no request
  A status that a gateway sends belongs to the request that its caller waits for.

  # Guards against a 408, which promises that nothing has run, or a 400 as the answer to a request that is running: Node sends them by itself.
  Scenario Outline: A request that is running gets its own answer although <input> follows it
    Given a server that answers requests after 400 ms and gives heads 100 ms
    When a caller sends a request, and then "<bytes>"
    Then it gets the answer 200, nothing else, and a closed connection

    Examples:
      | input                     | bytes    |
      | the begin of another head | POST /w  |
      | what is no HTTP           | no HTTP at all |

  # Guards against connections that are left open without an answer, where no request is running.
  Scenario Outline: A connection on which <input> comes first is answered <status> and closed
    Given a server that answers requests after 400 ms and gives heads 100 ms
    When a caller sends only "<bytes>"
    Then it gets the answer <status>, nothing else, and a closed connection

    Examples:
      | input                   | bytes    | status |
      | the begin of a head     | POST /w  | 408    |
      | what is no HTTP         | no HTTP at all | 400    |

  # Guards against a request that waits for ever for a body that cannot be read.
  Scenario: A request whose body breaks off is answered 400 and its connection is closed
    Given a server that answers requests after 400 ms and gives heads 100 ms
    When a caller sends a request whose chunked body cannot be read
    Then it gets the answer 400, nothing else, and a closed connection

  # Guards against a 408 for a head that arrived in time and lies unread, because its server stood still when the time was up.
  Scenario Outline: <count> requests whose heads arrive in time, the first after <sent> bytes of it, are answered although the server stands still beyond that time
    Given a server that answers requests after 0 ms and gives heads 1000 ms
    When a caller sends <sent> bytes, and the rest of <count> requests before the server stands still for 2000 ms
    Then it gets <count> answers with status 200

    Examples:
      | count | sent |
      | 1     | 7    |
      | 2     | 7    |
      | 1     | 0    |

  # Guards against heads that have all the time they like because a server stood still.
  Scenario: A head that is incomplete when its server goes on after its time is answered 408
    Given a server that answers requests after 0 ms and gives heads 1000 ms
    When a caller sends 7 bytes, and the rest of 0 requests before the server stands still for 2000 ms
    Then it gets 1 answers with status 408

  # Guards against bytes that are lost because their caller ends its side within a request while its connection is closing.
  Scenario: A caller that ends its side within a request gets what its closing connection still has to send
    Given a server that sends 20000000 bytes and closes the connection
    When a caller asks, begins a further request, ends its side after 300 ms and reads 300 ms later
    Then it gets all 20000000 bytes
