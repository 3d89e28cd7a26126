Feature: What a gateway knows of upstreams that limit their requests
  Limits are named to one gateway and hold for all. They end by the word of a leader that knows what every gateway has seen.

  Background:
    Given a gateway that a leader of term 1 leads

  # Guards against a gateway that goes on as before until the leader answers.
  Scenario: Nothing is sent to an upstream that names a limit, until the leader has lent something
    When an answer of "u" names a limit of 2
    Then "u" may be sent 0 requests
    And the leader is told at once that "u" names a limit of 2
    When the leader answers with the limit and a loan of 1 for "u"
    Then "u" may be sent 1 request
    When a request is sent to "u"
    Then "u" may be sent 0 requests

  # Guards against a limit that is forgotten as the leader has not heard of it yet.
  Scenario: A limit that the leader has not heard of does not end by its list
    When an answer of "u" names a limit of 2
    And the leader tells that there are no limits, in answer to an earlier report
    Then "u" is limited
    When the gateway reports
    And the leader tells that there are no limits, in answer to that report
    Then "u" is not limited

  # Guards against a limit that ends with the leader that knew it.
  Scenario: Another leader is told all limits before its list ends any
    When an answer of "u" names a limit of 2
    And the gateway reports
    And a leader of term 2 tells that there are no limits, in answer to that report
    Then "u" is limited
    And the leader is told at once that "u" names a limit of 2

  # Guards against a limit that ends by an answer that was made before it was named.
  Scenario: An answer to a request that was sent before the limit was known says nothing of it
    When the leader tells that "u" has a limit of 2
    And an answer of "u" to a request sent 10 ms before that names none
    And the gateway reports
    Then the leader was not told that "u" names no limit
    When an answer of "u" to a request sent 10 ms after that names none
    And the gateway reports
    Then the leader was told that "u" names no limit
    And "u" is limited

  # Guards against a lower limit that waits for the leader, and a higher one that does not.
  Scenario: A lower limit is in force at once, a higher one by the leader's word
    When the leader tells that "u" has a limit of 2
    And an answer of "u" names a limit of 1
    Then the limit of "u" is 1
    When an answer of "u" names a limit of 3
    Then the limit of "u" is 1
    When the gateway reports
    And the leader tells that "u" has a limit of 3
    Then the limit of "u" is 3

  # Guards against loans that are used after the leader has counted them as used.
  Scenario: A loan ends 4 seconds after the report that asked for it
    When the leader tells that "u" has a limit of 2
    And the leader answers with the limit and a loan of 1 for "u"
    And 3990 ms go by without a word of the leader
    Then "u" may be sent 1 request
    When 20 ms go by without a word of the leader
    Then "u" may be sent 0 requests

  # Guards against loans that were asked for before a suspension of unknown length.
  Scenario: A loan that was asked for before a suspension is not taken
    When the leader tells that "u" has a limit of 2
    And the gateway is suspended for 3000 ms after its report
    And the leader answers with the limit and a loan of 1 for "u"
    Then "u" may be sent 0 requests

  # Guards against a gateway that starts beside a new leader and sends as if there were no limit, as the upstream was not in the directory yet.
  Scenario: A limit is kept until its upstream is in the directory
    When the leader tells that "u" has a limit of 2
    And a directory without "u" comes
    Then "u" is limited
    When 10001 ms go by without a word of the leader
    And a directory without "u" comes
    Then "u" is not limited

  # Guards against requests that wait until their deadline for an upstream of which other gateways take the larger part.
  Scenario: A gateway that is lent less than it asks for expects no more than what it was lent
    When the leader tells that "u" has a limit of 2
    And for 4500 ms the leader lends 1 request each 2000 ms for "u" and has no more
    Then the gateway expects to send 0.5 requests a second to "u"
    When the leader lends all that is asked for "u"
    Then the gateway expects to send 2 requests a second to "u"

  # Guards against a gateway that asks no more as it refuses all, and so never hears that there is enough.
  Scenario: What a gateway was lent is forgotten when it has not asked for a while
    When the leader tells that "u" has a limit of 2
    And for 4500 ms the leader lends 1 request each 2000 ms for "u" and has no more
    And 2600 ms go by without a word of the leader
    Then the gateway expects to send 2 requests a second to "u"

  Scenario Outline: The limit that the leader holds to, of those that gateways see
    Given the leader knows a limit of 2 that was named last at 0 ms
    When a gateway tells that at <at> ms <seen> was named
    Then the leader holds to <limit>

    Examples:
      | at   | seen | limit |
      | 10   | 1    | 1     |
      | 500  | 3    | 2     |
      | 1001 | 3    | 3     |
      | 500  | none | 2     |
      | 1001 | none | none  |
