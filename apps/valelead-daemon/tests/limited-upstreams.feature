Feature: What a gateway knows of upstreams that limit their requests
  An upstream states its limit to one gateway, and it applies to all. Only a leader that knows the observations of every gateway ends a limit.

  Background:
    Given a gateway that a leader of term 1 leads

  # Guards against a gateway that sends at its old rate until the leader answers.
  Scenario: No request is sent to an upstream that names a limit until the leader grants a loan
    When an answer of "u" names a limit of 2
    Then "u" may be sent 0 requests
    And the leader is told at once that "u" names a limit of 2
    When the leader answers with the limit and a loan of 1 for "u"
    Then "u" may be sent 1 request
    When a request is sent to "u"
    Then "u" may be sent 0 requests

  # Guards against a limit that is removed because the leader's list lacks it, when the leader has not received the report of it yet.
  Scenario: A limit that was not reported to the leader yet is not ended by its list
    When an answer of "u" names a limit of 2
    And the leader tells that there are no limits, in answer to an earlier report
    Then "u" is limited
    When the gateway reports
    And the leader tells that there are no limits, in answer to that report
    Then "u" is not limited

  # Guards against a limit that is lost when the leader that knew it is replaced.
  Scenario: A new leader receives all limits before its list ends any
    When an answer of "u" names a limit of 2
    And the gateway reports
    And a leader of term 2 tells that there are no limits, in answer to that report
    Then "u" is limited
    And the leader is told at once that "u" names a limit of 2

  # Guards against a limit that is ended by a response that the upstream created before it set the limit.
  Scenario: A response to a request that was sent before the limit was known does not end the limit
    When the leader tells that "u" has a limit of 2
    And an answer of "u" to a request sent 10 ms before that names none
    And the gateway reports
    Then the leader was not told that "u" names no limit
    When an answer of "u" to a request sent 10 ms after that names none
    And the gateway reports
    Then the leader was told that "u" names no limit
    And "u" is limited

  # Guards against a lower limit that is applied only after the leader's update, and a higher one that is applied before it.
  Scenario: A lower limit is applied at once, a higher one only after the leader's update
    When the leader tells that "u" has a limit of 2
    And an answer of "u" names a limit of 1
    Then the limit of "u" is 1
    When an answer of "u" names a limit of 3
    Then the limit of "u" is 1
    When the gateway reports
    And the leader tells that "u" has a limit of 3
    Then the limit of "u" is 3

  # Guards against loans that are used after the leader has already written them off as used.
  Scenario: A loan ends 4 seconds after the report that asked for it
    When the leader tells that "u" has a limit of 2
    And the leader answers with the limit and a loan of 1 for "u"
    And 3990 ms go by without a word of the leader
    Then "u" may be sent 1 request
    When 20 ms go by without a word of the leader
    Then "u" may be sent 0 requests

  # Guards against the use of loans that were requested before a suspension of unknown length, and may have expired during it.
  Scenario: A loan that was requested before a suspension is ignored
    When the leader tells that "u" has a limit of 2
    And the gateway is suspended for 3000 ms after its report
    And the leader answers with the limit and a loan of 1 for "u"
    Then "u" may be sent 0 requests

  # Guards against a gateway that starts at the same time as a new leader and sends without a limit, as the upstream was not in the directory yet.
  Scenario: A limit is kept until its upstream is in the directory
    When the leader tells that "u" has a limit of 2
    And a directory without "u" comes
    Then "u" is limited
    When 10001 ms go by without a word of the leader
    And a directory without "u" comes
    Then "u" is not limited

  # Guards against requests that wait until their deadline for an upstream whose limit is mostly used by other gateways.
  Scenario: A gateway that is lent less than it requested expects no higher rate than that of its loans
    When the leader tells that "u" has a limit of 2
    And for 4500 ms the leader lends 1 request each 2000 ms for "u" and has no more
    Then the gateway expects to send 0.5 requests a second to "u"
    When the leader lends all that is asked for "u"
    Then the gateway expects to send 2 requests a second to "u"

  # Guards against a gateway that refuses all requests, therefore requests no loans, and so never learns that enough is available.
  Scenario: The observed rate of loans expires when the leader has not answered for 2.5 seconds
    When the leader tells that "u" has a limit of 2
    And for 4500 ms the leader lends 1 request each 2000 ms for "u" and has no more
    And 2600 ms go by without a word of the leader
    Then the gateway expects to send 2 requests a second to "u"

  Scenario Outline: The limit that the leader applies when gateways observe different limits
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
