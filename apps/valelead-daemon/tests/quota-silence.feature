Feature: Quotas while the leader does not answer
  28 gateways serve 16 teams of very different size, in requests of 650 to 9,400 tokens, with the real quota gates and registry in virtual time. A reference
  bucket of rate and burst over all gateways tells which of the refused requests lie below the quota.

  # Guards against gateways that refuse most of what a team may use as soon as the leader does not answer, and against use beyond the bound.
  Scenario Outline: The leader is silent for <silence> ms while one team sends <surge> times its usual rate
    When the leader is silent for <silence> ms while team <team> sends <surge> times its usual rate
    Then at most <refused> of the requests during the silence are refused below the quota, and at most 0.01 of those before it
    And no team exceeds its quota and the tolerance in any window

    Examples:
      | silence | surge | team | refused |
      | 2500    | 1     | 0    | 0.01    |
      | 2500    | 4     | 0    | 0.01    |
      | 2500    | 12    | 8    | 0.01    |
      | 7700    | 1     | 0    | 0.01    |

  # Guards against a setting without effect.
  Scenario: Gateways without large stocks refuse at least 1.5 times as many requests below the quota
    When the leader is silent for 2500 ms while team 0 sends 1 times its usual rate
    Then gateways without large stocks refuse at least 1.5 times as many requests below the quota during the silence

  # Guards against a gateway that spends again what its killed predecessor has spent.
  Scenario: Half of the gateways are restarted while the leader is silent and a team surges
    When 14 gateways are restarted while the leader is silent for 2500 ms and team 0 sends 12 times its usual rate
    Then no team exceeds its quota and the tolerance in any window
