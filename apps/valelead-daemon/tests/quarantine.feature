Feature: Quarantine decisions on incomplete crash reports
  Each gateway sees only its own requests at an upstream that crashed. A request that only waited there looks like the cause until another gateway
  reports the request that had just started there.

  # Guards against innocent requests refused with 2014 for ten minutes: a gateway without a leader decided on crashes that the leader had explained.
  Scenario: A gateway that loses its leader keeps the leader's decisions on the crashes that the leader knew
    Given a gateway with a leader
    When the gateway sees runs "a, b, c" crash under requests "popular" that were unanswered
    And the leader has the gateway's reports and suspects no request
    And the gateway has no contact with the leader for 3 seconds
    Then the gateway does not quarantine "popular"

  # Guards against quarantining an innocent request when several upstreams in a row crash, without a leader, under requests of another gateway.
  Scenario: A gateway without a leader does not quarantine a request that only waited at three crashes
    Given a gateway without a leader
    When the gateway sees runs "a, b, c" crash under requests "popular" that were unanswered
    Then the gateway does not quarantine "popular"
    When the gateway sees runs "d, e, f" crash under requests "boom" that were begun
    Then the gateway quarantines "boom"

  # Guards against a quarantine that a gateway decided without a leader and that stays after the leader has returned.
  Scenario: A gateway's own quarantine ends once a leader knows of the crashes and does not suspect the request
    Given a gateway without a leader
    When the gateway sees runs "a, b, c" crash under requests "popular" that were begun
    Then the gateway quarantines "popular"
    When the leader has the gateway's reports and suspects no request
    Then the gateway does not quarantine "popular"

  # Guards against dropping suspects because a voter that is not the leader lists none.
  Scenario: A list from a voter that is not the leader clears no suspect
    Given a gateway with a leader
    When the gateway sees runs "a, b" crash under requests "boom" that were unanswered
    And the leader has the gateway's reports and suspects "boom"
    And a voter that is not the leader sends its list
    And the gateway has no contact with the leader for 3 seconds
    And the gateway sees runs "c, d, e" crash under requests "boom" that were unanswered
    Then the gateway quarantines "boom"

  # Guards against a gateway process that exits because of a crash that it no longer stores for its leader.
  Scenario: A gateway keeps deciding after more crashes than it stores for its leader
    Given a gateway with a leader
    When the gateway sees 100 crashes under "popular", and its leader knows of them
    And the gateway has no contact with the leader for 3 seconds
    Then the gateway does not quarantine "popular"

  # Guards against a new leader that decides on the first report, a millisecond before the report that names the request which had just started.
  Scenario: A new leader waits for the reports of all gateways before it quarantines requests that only waited
    Given a newly elected leader
    When gateway "two" reports crashes of runs "a, b, c" under requests "popular" that were unanswered
    And gateway "one" reports crashes of runs "a, b, c" under requests "boom" that were begun
    Then the leader quarantines "boom" and not "popular"
    And it still does 3 seconds later

  # Guards against a quarantine that stays although later reports name the request that had just started at the same crashes.
  Scenario Outline: A leader revokes a quarantine, committed <moment>, when another gateway reports the request that started at the same crashes
    Given a leader that has led for 5 seconds, whose decisions are committed <moment>
    When gateway "two" reports crashes of runs "a, b, c" under requests "popular" that were unanswered
    Then the leader quarantines "popular"
    When gateway "one" reports crashes of runs "a, b, c" under requests "boom" that were begun
    Then 1 second later the leader quarantines "boom" and not "popular"

    Examples:
      | moment          |
      | at once         |
      | after 200 ms    |

  # Guards against a late quarantine of a request that crashes upstreams before any response: the leader took its first crash for the start of its term.
  Scenario: A leader decides on its first crashes immediately once it has led for some seconds
    Given a leader that has led for 5 seconds without a crash
    When gateway "one" reports crashes of runs "a, b, c" under requests "boom" that were unanswered
    Then the leader quarantines "boom"

  # Guards against treating new crashes as incompletely reported, which let a request that crashes upstreams before any response crash five.
  Scenario: A newly elected leader decides on crashes that come after the first reports of its gateways
    Given a newly elected leader
    When gateways "one, two" report no crash
    And gateway "one" reports crashes of runs "a, b, c" under requests "boom" that were unanswered
    Then the leader quarantines "boom"

  # Guards against quarantining a request that only waited, milliseconds before the report that names the request which had just started there.
  Scenario: A leader waits for other gateways to report the newest crash
    Given a leader that has led for 5 seconds without a crash
    When gateway "one" reports crashes of runs "a, b, c, d, e, f" under requests "popular" that were running
    And gateway "one" reports crashes of runs "g" under requests "popular" that were unanswered
    And gateway "two" reports crashes of runs "g" under requests "boom" that were begun
    Then the leader quarantines no request
    And 1 second later the leader quarantines "" and not "popular"

  # Guards against never quarantining a request that crashes upstreams before any response because no other gateway reports more.
  Scenario: A leader decides on the newest crash once other gateways have had time to report it
    Given a leader that has led for 5 seconds without a crash
    When gateway "one" reports crashes of runs "a, b, c, d, e, f" under requests "boom" that were running
    And gateway "one" reports crashes of runs "g" under requests "boom" that were unanswered
    Then the leader quarantines no request
    And 1 second later the leader quarantines "boom" and not "popular"

  # Guards against revoking a quarantine because its crashes are evicted from the ledger by newer ones.
  Scenario: A quarantine stays when its crashes are evicted from the ledger
    Given a leader that has led for 5 seconds, whose decisions are committed at once
    When gateway "one" reports crashes of runs "a, b, c" under requests "boom" that were begun
    And 61 seconds pass, and gateway "one" reports 256 other crashes
    Then the leader quarantines "boom"

  # Guards against losing a response that arrives while the quarantine is being committed.
  Scenario: A response during the commit of a quarantine ends it
    Given a leader that has led for 5 seconds, whose decisions are committed after 200 ms
    When gateway "two" reports crashes of runs "a, b, c" under requests "popular" that were unanswered
    And gateway "one" reports that "popular" was answered
    Then 1 second later the leader quarantines "" and not "popular"

  # Guards against reporting a failed attempt to its caller before other gateways know of the crash: the caller's retry crashes one more upstream.
  Scenario: A failed attempt is reported once all gateways have applied the result of its crash
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    Then gateway "one" is not told that all gateways know of the crashes
    When gateways "one, two" confirm the list
    Then gateway "one" is not told that all gateways know of the crashes
    When gateways "three" confirm the list
    Then gateway "one" is told that all gateways know of the crashes

  # Guards against innocent requests that wait for other gateways although the crash changes nothing for these gateways.
  Scenario: A crash that does not change the list needs no confirmation
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateways "one, two, three" confirm the list
    And gateway "one" reports crashes of runs "a" under request "first"
    Then gateway "one" is told that all gateways know of the crashes

  # Guards against callers that wait for a gateway which is suspended or partitioned.
  Scenario: A report does not wait for silent gateways, and for 250 ms at most for live gateways
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    And gateways "one, two" confirm the list
    And 260 ms pass without a report
    Then gateway "one" is told that all gateways know of the crashes

  # Guards against a deposed leader that keeps sending updates to gateways as if it were the leader.
  Scenario: A deposed leader does not report that all gateways know of a crash
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    And the leader is deposed
    And 300 ms pass without a report
    Then gateway "one" is not told that all gateways know of the crashes

  # Guards against callers and retries that wait for an event which no longer concerns them.
  Scenario Outline: A failed attempt is held until <event>
    Given a failed attempt at run "a", <state>
    When <event>
    Then the failure is reported

    Examples:
      | state                           | event                                        |
      | which is known to have crashed  | all gateways know of the crash               |
      | which is found crashed later    | all gateways know of the crash               |
      | which is found alive later      | its port is found open                       |
      | which is known to have crashed  | 500 ms pass without an event                  |

  # Guards against retries that start beside a guilty request again and are quarantined with it, and against one more upstream lost to each attempt of a
  # guilty request.
  Scenario Outline: A request that <state> when its upstream crashed is <retry> another upstream
    Given a gateway whose upstreams crash under requests
    When a request that <state> loses its upstream
    Then it is <retry> another upstream

    Examples:
      | state          | retry     |
      | was begun      | not given |
      | was unanswered | given     |

  # Guards against refusing a caller after one upstream although only the connection to that upstream broke.
  Scenario: A request that had just started is given another upstream when only its connection broke
    Given a gateway whose upstreams go on listening
    When a request that was begun loses its upstream
    Then it is given another upstream

  # Guards against reporting a failed attempt to its caller while an unreachable gateway may still send the caller's retry.
  Scenario: A request that had just started at a crash is answered once the leases of silent gateways have expired
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    And gateways "one, two" confirm the list
    And 260 ms pass without a report
    Then gateway "one" is not told that no gateway is unaware of the crashes
    When 800 ms pass without a report
    Then gateway "one" is told that no gateway is unaware of the crashes

  # Guards against a gateway without a leader that sends a request which may have crashed three upstreams at other gateways.
  Scenario: A gateway without a lease does not send a request that had just started at a crash
    Given a gateway with a leader, one of 3 gateways
    When the leader has the gateway's reports and suspects no request
    And the gateway sees runs "a" crash under requests "boom" that were begun
    Then the gateway sends "boom"
    When the gateway has no contact with the leader for 2 seconds
    Then the gateway refuses "boom" for now, and sends "other"
    When the leader has the gateway's reports and suspects no request
    Then the gateway sends "boom"

  # Guards against sending suspects that a new leader does not know yet because not all gateways have reported their crashes to it.
  Scenario: Suspects of an earlier leader are held back until all gateways have reported to the new leader
    Given a gateway with a leader, one of 3 gateways
    When the leader has the gateway's reports and suspects "boom"
    And the gateway has no contact with the leader for 2 seconds
    And a leader without the reports of all gateways sends its list
    Then the gateway refuses "boom" for now, and sends "other"
    When the leader has the gateway's reports and suspects no request
    Then the gateway sends "boom"

  # Guards against treating an upstream that crashed and restarted while this process was suspended as one whose connection alone broke.
  Scenario: A port that is open after a stall does not show that the previous run is alive
    Given a gateway whose upstreams go on listening, and that was suspended
    When a request that was begun loses its upstream
    Then it is not given another upstream
