Feature: Answers of an agent that is stopping
  An agent ends once its attempts have ended. What it has taken from its upstream by then still reaches the entry.

  # Guards against an answer that a stopping agent has only buffered, and that ends with its process.
  Scenario Outline: A call with an answer of <bytes> bytes is answered although its entry stands still while the agent stops
    Given an installation with 1 engines and 1 service whose calls take 400 ms
    When a caller sends entry 1 a call of <bytes> bytes, and the entry stands still for 1500 ms while the agent of the service gets SIGTERM
    Then the caller gets the whole answer of at least <bytes> bytes

    Examples:
      | bytes  |
      | 10     |
      | 300000 |
