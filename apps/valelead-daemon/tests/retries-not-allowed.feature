Feature: Attempts whose request may not be sent again
  An upstream's work is given up for a retry only if the retry follows.

  # Guards against safe requests that get 504 after their first-byte timeout, although nothing takes the place of the attempt that is cut.
  Scenario Outline: Safe requests at slow upstreams are served while <retries> retries are left
    Given a gateway that may send <retries> retries, with two upstreams that answer 200 after 2000 ms
    When 20 safe requests arrive at once
    Then all 20 callers get status 200
    And <given up> attempts were given up, each for a retry

    Examples:
      | retries | given up |
      | 0       | 0        |
      | 3       | 3        |

  # Guards against requests that lose their upstreams to retries which have nowhere to go: attempts that time out in one tick eject all upstreams.
  Scenario: Attempts that are overdue at once are not given up after the last upstream is ejected
    Given a gateway that may send 100 retries, with two upstreams that answer 200 after 2000 ms
    When 20 safe requests arrive at once
    Then all 20 callers get status 200
    And every retry was sent within 1050 ms of the arrival

  # Guards against a 502 of the gateway in place of the response that the upstream sent.
  Scenario Outline: A failure of the upstream is passed on while <retries> retries are left
    Given a gateway that may send <retries> retries, with two upstreams that answer 500 after 20 ms
    When 20 safe requests arrive at once
    Then all 20 callers get status 500
    And <retries> requests were sent again

    Examples:
      | retries |
      | 0       |
      | 3       |
