Feature: Judgement by a part of what gateways saw
  Gateways see only their own requests at an upstream that crashed. What waited there at one gateway looks guilty until another one tells what had
  just begun there.

  # Guards against: innocent requests refused with 2014 for ten minutes, as a gateway without a leader judged crashes that the leader had explained.
  Scenario: A gateway that loses its leader keeps to what the leader made of the crashes that it knew
    Given a gateway and a leader that it hears
    When the gateway sees runs "a, b, c" crash under requests "popular" that were unanswered
    And the leader hears of it and suspects nobody
    And the leader is not heard for 3 seconds
    Then the gateway lets "popular" through

  # Guards against: several crashes in a row without a leader, under requests of another gateway.
  Scenario: A gateway without a leader does not judge what merely waited at three crashes
    Given a gateway that hears no leader
    When the gateway sees runs "a, b, c" crash under requests "popular" that were unanswered
    Then the gateway lets "popular" through
    When the gateway sees runs "d, e, f" crash under requests "boom" that were begun
    Then the gateway keeps "boom" back

  # Guards against: a judgement that a gateway made without a leader, and that outlived the leader's return.
  Scenario: A gateway's own judgement ends once a leader knows of the crashes and does not share it
    Given a gateway that hears no leader
    When the gateway sees runs "a, b, c" crash under requests "popular" that were begun
    Then the gateway keeps "popular" back
    When the leader hears of it and suspects nobody
    Then the gateway lets "popular" through

  # Guards against: suspects forgotten, as a voter that does not lead lists none.
  Scenario: A voter that does not lead takes no suspicion away
    Given a gateway and a leader that it hears
    When the gateway sees runs "a, b" crash under requests "boom" that were unanswered
    And the leader hears of it and suspects "boom"
    And a voter that does not lead sends its list
    And the leader is not heard for 3 seconds
    And the gateway sees runs "c, d, e" crash under requests "boom" that were unanswered
    Then the gateway keeps "boom" back

  # Guards against: a gateway that ends at a crash which it no longer keeps for its leader.
  Scenario: A gateway that has seen more crashes than it keeps for its leader goes on judging
    Given a gateway and a leader that it hears
    When the gateway sees 100 crashes under "popular", of which its leader hears
    And the leader is not heard for 3 seconds
    Then the gateway lets "popular" through

  # Guards against: a new leader that judged by the first report, a millisecond before the one that names the request which had begun.
  Scenario: A new leader hears all gateways before it judges what merely waited
    Given a leader that has just been elected
    When gateway "two" tells of crashes of runs "a, b, c" under requests "popular" that were unanswered
    And gateway "one" tells of crashes of runs "a, b, c" under requests "boom" that were begun
    Then the leader keeps "boom" back and not "popular"
    And so it does 3 seconds later

  # Guards against: a judgement that stood although later reports showed who had just begun at the same crashes.
  Scenario Outline: A leader takes a judgement back when other gateways tell who had begun at the same crashes, <moment>
    Given a leader that has led for 5 seconds, whose judgements are committed <moment>
    When gateway "two" tells of crashes of runs "a, b, c" under requests "popular" that were unanswered
    Then the leader keeps "popular" back
    When gateway "one" tells of crashes of runs "a, b, c" under requests "boom" that were begun
    Then 1 second later the leader keeps "boom" back and not "popular"

    Examples:
      | moment          |
      | at once         |
      | after 200 ms    |

  # Guards against: a leader that takes its first crash for the begin of its leadership, and judges what crashes upstreams in silence too late.
  Scenario: A leader that has led for a while judges the first crashes that it hears of at once
    Given a leader that has led for 5 seconds without a crash
    When gateway "one" tells of crashes of runs "a, b, c" under requests "boom" that were unanswered
    Then the leader keeps "boom" back

  # Guards against: new crashes taken for ones that other gateways still have to tell of, so that what crashes upstreams in silence crashes five.
  Scenario: A leader that has just been elected judges crashes that come after its gateways told what they know
    Given a leader that has just been elected
    When gateways "one, two" tell of no crash
    And gateway "one" tells of crashes of runs "a, b, c" under requests "boom" that were unanswered
    Then the leader keeps "boom" back

  # Guards against: requests that merely waited, judged milliseconds before the report that names what had just begun at the same crash.
  Scenario: A leader waits a moment for other reports of the newest crash
    Given a leader that has led for 5 seconds without a crash
    When gateway "one" tells of crashes of runs "a, b, c, d, e, f" under requests "popular" that were running
    And gateway "one" tells of crashes of runs "g" under requests "popular" that were unanswered
    And gateway "two" tells of crashes of runs "g" under requests "boom" that were begun
    Then the leader keeps nothing back
    And 1 second later the leader keeps "" back and not "popular"

  # Guards against: what crashes upstreams in silence, not judged as no other gateway has more to tell.
  Scenario: A leader judges by the newest crash once other gateways had time to tell of it
    Given a leader that has led for 5 seconds without a crash
    When gateway "one" tells of crashes of runs "a, b, c, d, e, f" under requests "boom" that were running
    And gateway "one" tells of crashes of runs "g" under requests "boom" that were unanswered
    Then the leader keeps nothing back
    And 1 second later the leader keeps "boom" back and not "popular"

  # Guards against: judgements that are taken back as the crashes that they rest on make way for others.
  Scenario: A judgement stands when its crashes are forgotten
    Given a leader that has led for 5 seconds, whose judgements are committed at once
    When gateway "one" tells of crashes of runs "a, b, c" under requests "boom" that were begun
    And 61 seconds go by, and gateway "one" tells of 256 other crashes
    Then the leader keeps "boom" back

  # Guards against: an answer that came while the judgement was being committed, and was forgotten.
  Scenario: An answer during the commit of a judgement ends it
    Given a leader that has led for 5 seconds, whose judgements are committed after 200 ms
    When gateway "two" tells of crashes of runs "a, b, c" under requests "popular" that were unanswered
    And gateway "one" tells that "popular" was answered
    Then 1 second later the leader keeps "" back and not "popular"

  # Guards against: a caller that hears of its lost try before other gateways know of the crash, and a retry that costs one more upstream.
  Scenario: A lost try is answered once all gateways obey what its crash led to
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    Then it is not told that all know of it
    When gateways "one, two" confirm the list
    Then it is not told that all know of it
    When gateways "three" confirm the list
    Then it is told that all know of it

  # Guards against: innocent requests that wait for other gateways at a crash that changes nothing for these.
  Scenario: A crash that changes no judgement is known to all at once
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateways "one, two, three" confirm the list
    And gateway "one" reports crashes of runs "a" under request "first"
    Then it is told that all know of it

  # Guards against: callers that wait for a gateway which is suspended or cut off.
  Scenario: Gateways that are silent are not waited for, and others for a short while only
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    And gateways "one, two" confirm the list
    And 260 ms go by without a word
    Then it is told that all know of it

  # Guards against: a deposed leader that goes on telling gateways what it knows as if it led.
  Scenario: A leader that is deposed tells nobody that all know of a crash
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    And the leader is deposed
    And 300 ms go by without a word
    Then it is not told that all know of it

  # Guards against: callers and retries that wait for what does not concern them any more.
  Scenario Outline: A lost try is held until <event>
    Given a lost try at run "a", <state>
    When <event>
    Then the try is passed on

    Examples:
      | state                           | event                                        |
      | which is known to have crashed  | all gateways know of the crash               |
      | which is found crashed later    | all gateways know of the crash               |
      | which is found alive later      | its port is found open                       |
      | which is known to have crashed  | 500 ms pass without a word                   |

  # Guards against: requests that begin beside guilty ones again as a retry, and are judged with them; and one upstream more lost to each try of a guilty one.
  Scenario Outline: What <state> when its upstream crashed is <retry> another upstream
    Given a gateway whose upstreams crash under requests
    When a request that <state> loses its upstream
    Then it is <retry> another upstream

    Examples:
      | state          | retry     |
      | was begun      | not given |
      | was unanswered | given     |

  # Guards against: callers refused after one upstream although only the connection to it broke.
  Scenario: What had just begun is given another upstream when only its connection broke
    Given a gateway whose upstreams go on listening
    When a request that was begun loses its upstream
    Then it is given another upstream

  # Guards against: a caller that hears of its lost try while a gateway that cannot be heard may still send the next one.
  Scenario: What had just begun at a crash is answered once silent gateways have no lease any more
    Given a leader that has led for 5 seconds and hears gateways "one, two, three"
    When gateway "one" reports crashes of runs "a, b, c" under request "boom"
    And gateways "one, two" confirm the list
    And 260 ms go by without a word
    Then it is not told that no gateway is unaware of it
    When 800 ms go by without a word
    Then it is told that no gateway is unaware of it

  # Guards against: a gateway without its leader that sends what may have crashed three upstreams at other gateways.
  Scenario: A gateway without a lease sends nothing that had begun at a crash while it had one
    Given a gateway and a leader that it hears, one of 3 gateways
    When the leader hears of it and suspects nobody
    And the gateway sees runs "a" crash under requests "boom" that were begun
    Then the gateway sends "boom"
    When the leader is not heard for 2 seconds
    Then the gateway refuses "boom" for now, and sends "other"
    When the leader hears of it and suspects nobody
    Then the gateway sends "boom"

  # Guards against: suspects that a new leader does not know yet, as not all gateways have told it of crashes.
  Scenario: What an earlier leader suspected is kept back until a new leader has heard all gateways
    Given a gateway and a leader that it hears, one of 3 gateways
    When the leader hears of it and suspects "boom"
    And the leader is not heard for 2 seconds
    And a leader that has not heard all gateways sends its list
    Then the gateway refuses "boom" for now, and sends "other"
    When the leader hears of it and suspects nobody
    Then the gateway sends "boom"

  # Guards against: an upstream that crashed and came back while this process stood still, taken for one whose connection broke alone.
  Scenario: A port that is open after a stall says nothing of the run that broke off
    Given a gateway whose upstreams go on listening, and that stood still
    When a request that was begun loses its upstream
    Then it is not given another upstream
