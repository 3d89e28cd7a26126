Feature: Choice of the engine that has read the shared parts of a prompt
  An engine that keeps the shared parts of a prompt does not read them again, which saves more than half of a latency objective. Requests with the same
  shared parts therefore prefer the same engine, as long as it has no more than its share of requests.

  # Guards against a hash that sends most keys to a few engines.
  Scenario: Keys are divided evenly among engines
    Given 10 engines without load
    When 5000 keys choose
    Then each engine was chosen by 400 to 600 keys

  # Guards against gateways that choose differently, so that several engines read the same parts.
  Scenario: The choice depends neither on the order of the engines nor on the process
    Given 10 engines without load
    Then 200 keys choose the same engines if the engines are listed in another order

  # Guards against a change of all preferences, and so an empty cache everywhere, when one engine leaves.
  Scenario: Only the keys of an engine that leaves choose anew
    Given 10 engines without load
    Then 500 keys choose the same engines after one has left, except for those that chose it

  # Guards against one engine that is overloaded by one popular part.
  Scenario: A popular part is divided among several engines
    Given 10 engines without load
    When 100 requests with one key arrive and stay
    Then no engine ever had more than 1.25 times the mean and one request more

  # Guards against a long queue for the sake of the cache, as surplus replicas and slow engines count many requests.
  Scenario: An engine with many more requests than the least loaded one is not chosen
    Given 10 engines without load
    When the chosen engine of a key has 16 requests and all others but one have as many
    Then the key chooses the remaining engine

  Scenario Outline: Only large shared parts are worth a preference
    Then shared parts of <tokens> tokens are worth <value> requests in a memory of <memory> tokens

    Examples:
      | tokens       | memory | value |
      | 6300         | 226529 | 6.3   |
      | 6300         | 147872 | 6.3   |
      | 646          | 147872 | 0     |
      | 4000         | 226529 | 0     |
      | 4000, 2300   | 226529 | 6.3   |
      | 90000        | 147872 | 8     |
      | 6300         | 0      | 0     |

  # Guards against prompts that share all but a short part and are still read by different engines.
  Scenario: The key consists of the leading parts that hold half of the tokens
    Then prompts with shared parts "a:6000, b:300" and "a:6000, c:300" have the same key
    And prompts with shared parts "a:1000, b:5300" and "a:1000, c:5300" have different keys
    And prompts for different models have different keys
