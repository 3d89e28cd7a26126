Feature: Shares of teams over all gateways
  28 gateways, whose admissions share full engines evenly (about 10 requests a second each), exchange with the leader what they have dispatched of each
  team. A large team floods all gateways with 12 requests a second each; a small team sends 6 or 8 a second through each of three gateways, less than a
  tenth of all requests. What the small team still loses at 8 a second waits until it is due, behind requests of the flood that are due before.

  # Guards against a team that gets a share at each gateway, and so takes slots from a team that comes through a few of them.
  Scenario Outline: A team that floods all gateways takes no time from a team that comes through a few of them with <rate> a second
    Given gateways that exchange what they have dispatched
    When the large team floods 28 gateways for 11 s while the small team sends <rate> a second through each of 3
    Then at least <least> of 100 requests of the small team are in time
    And at least 75 of 100 requests of the large team are in time

    Examples:
      | rate | least |
      | 6    | 97    |
      | 8    | 90    |

  # Shows that the check above can fail: by its own dispatches alone, each gateway gives the small team half of its slots at most.
  @off
  Scenario: Without the exchange, the flood takes time from the small team
    Given gateways that exchange nothing
    When the large team floods 28 gateways for 11 s while the small team sends 8 a second through each of 3
    Then fewer than 80 of 100 requests of the small team are in time

  # Guards against a leader's silence that ends the order, and against the first totals of a new leader that stop a team or count twice.
  Scenario: The leader is silent, and another one follows that knows nothing
    Given gateways that exchange what they have dispatched
    And the leader is silent for 3000 ms from 4000 ms on, and another one follows
    When the large team floods 28 gateways for 11 s while the small team sends 8 a second through each of 3
    Then at least 90 of 100 requests of the small team are in time
    And no team is ahead by more than the dispatches of 1.2 s
    And the gateways count at most 1.01 times what the others have dispatched

  # Guards against a team that gets no slot for minutes after it was served elsewhere, while the other team was idle.
  Scenario: An idle team gains no credit from what other gateways dispatch
    Given a gateway without requests
    When other gateways dispatch 50 requests a second of the large team for 20 s
    And 200 requests of the small team and then 1 of the large team arrive at the gateway
    Then the request of the large team is among the first 52 that are dispatched

  # Guards against a late report that stops a team, also at a gateway that was suspended.
  Scenario Outline: A late update counts as the dispatches of one second
    Given a gateway without requests
    When an update after <passed> ms and a suspension of <suspended> ms tells of 400 dispatches of the large team by other gateways
    Then the large team is ahead by at most 50

    Examples:
      | passed | suspended |
      | 8000   | 0         |
      | 300    | 7700      |

  # Guards against an endless order of what a process of an older leader's term has counted.
  Scenario: A restarted gateway counts nothing that was dispatched before its start
    Given a gateway without requests
    When its first update tells of 100000 dispatches of the large team by other gateways
    Then the large team is ahead by at most 0

  # Guards against reports that are lost with a session, and against counting twice what a leader has acknowledged.
  Scenario: What no leader has acknowledged is reported again in the next session
    Given a gateway that has dispatched 3 requests of the large team
    When it reports in a session whose leader does not answer, and then in a new one
    Then the last report tells of 3 dispatches of the large team
    When a leader acknowledges the last report, and the gateway reports in a new session
    Then the last report tells of nothing

  # Guards against additional messages in installations without teams.
  Scenario: A gateway without teams reports nothing
    Given a gateway without teams that has dispatched 3 requests
    When it reports in a session whose leader does not answer, and then in a new one
    Then the last report tells of nothing

  # Guards against an order that nobody can explain afterwards, and against log lines that grow with the number of updates.
  Scenario: The gateway logs at most once a second by what several waiting teams are ordered
    Given a gateway without requests
    When 200 requests of the small team and then 200 of the large team arrive, and updates tell each 100 ms for 2950 ms of 5 dispatches of the large team
    Then 3 log lines "team-shares" name both teams, with the large team ahead from the second on
