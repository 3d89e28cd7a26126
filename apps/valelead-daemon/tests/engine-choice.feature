Feature: Choice of the engine at a gateway
  A gateway sends each request to the engine that is expected to have done it first, by the speeds that all gateways have measured.

  Background:
    Given a gateway with engines "e1, e2, e3, e4", of which gateways have measured gaps of 36, 36, 36 and 90 ms

  # Guards against requests that wait at a slow engine while others are idle.
  Scenario: Load is balanced by time
    When 24 requests arrive at once
    Then at most 3 of them were sent to "e4"
    And each of "e1, e2, e3" was sent 7 to 8 requests

  # Guards against a slow engine that never gets a request, so that nobody measures its recovery.
  Scenario: A slow engine still gets requests when the others are loaded
    When 24 requests arrive at once
    Then at least 2 of them were sent to "e4"

  # Guards against any change for deployments with even engines.
  Scenario: Engines of about the same speed are balanced by number
    Given gateways have measured gaps of 36, 40, 44 and 33 ms
    When 24 requests arrive at once
    Then each of "e1, e2, e3, e4" was sent 6 to 6 requests

  Scenario Outline: An engine of unknown speed counts as the median
    When <event>
    And 24 requests arrive at once
    Then each of "e1, e2, e3, e4" was sent 6 to 6 requests

    Examples:
      | event                                                   |
      | the manager of "e4" has sent nothing for 3100 ms        |
      | the connection to the manager of "e4" is lost           |
      | "e4" starts again                                       |
      | the manager of "e4" is of a version without speeds      |

  Scenario: Speeds can be switched off
    Given speeds are switched off
    When 24 requests arrive at once
    Then each of "e1, e2, e3, e4" was sent 6 to 6 requests
    And nothing is measured

  # Guards against a mean that depends on how events are divided into chunks, as busy gateways read several events at once.
  Scenario Outline: The time between events is measured by event
    When a stream of "e1" sends its first event after 50 ms and then <chunks>
    Then the gateway reports <gaps> gaps of <gap> ms and 1 first event after 50 ms for "e1"

    Examples:
      | chunks                            | gaps | gap |
      | 4 events, each 40 ms apart        | 4    | 40  |
      | 4 events in one chunk after 160 ms | 4   | 40  |
      | 4 events in halves, each 40 ms apart | 4 | 40  |

  # Guards against an engine that counts as slow because a gateway stood still.
  Scenario: A gateway that stood still does not report its own pause
    When a stream of "e1" sends its first event after 50 ms and then 4 events, each 40 ms apart
    And the gateway stands still for 2500 ms, with an event that arrived meanwhile
    Then the gateway reports 4 gaps of 40 ms and 1 first event after 50 ms for "e1"

  Scenario: Responses that are no event streams are not measured
    When a response of "e1" arrives as JSON
    Then the gateway reports nothing for "e1"

  # Guards against messages that grow with the number of requests, and against a slow-down that is reported only with the next request.
  Scenario: Only measurements that contradict the reported speed are sent at once
    When a stream of "e1" sends its first event after 50 ms and then 4 events, each 36 ms apart
    And the gateway sends nothing else for 100 ms
    Then the gateway has sent no measurement of its own accord
    When a stream of "e1" sends its first event after 50 ms and then 4 events, each 90 ms apart
    Then the gateway has sent measurements of "e1" within 100 ms

  # Guards against gateways that send the same parts to different engines because they list the engines in another order.
  Scenario: All gateways prefer the same engine for a prompt
    Given gateways have measured gaps of 36, 36, 36 and 36 ms
    Then of requests that share 6300 tokens, two gateways send the first of each of 50 prompts to the same engine

  # Guards against a popular part that overloads one engine.
  Scenario: Requests that share a large part stay together up to an engine's share
    Given gateways have measured gaps of 36, 36, 36 and 36 ms
    When 4 requests arrive at once that share 6300 tokens
    Then the most loaded engine was sent 2 to 3 requests
    When 24 requests arrive at once that share 6300 tokens
    Then the most loaded engine was sent 7 to 9 requests

  Scenario: Requests that share little go where the fewest requests are
    Given gateways have measured gaps of 36, 36, 36 and 36 ms
    When 24 requests arrive at once that share 646 tokens
    Then each of "e1, e2, e3, e4" was sent 6 to 6 requests
    And no engine was preferred

  # Guards against requests that prefer a slow engine for its cache and then miss their objective.
  Scenario: A slow engine counts its requests several times for requests that share a part too
    When 24 requests arrive at once that share 6300 tokens
    Then at most 4 of them were sent to "e4"

  Scenario: Prompt reuse can be switched off
    Given speeds are switched off
    When 24 requests arrive at once that share 6300 tokens
    Then each of "e1, e2, e3, e4" was sent 6 to 6 requests
    And no engine was preferred
