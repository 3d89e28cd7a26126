Feature: Attempts that cannot be started
  Libraries throw at values that they cannot send. Such a throw ends its own attempt, in whatever turn of the event loop the attempt is started.

  # Guards against a throw that ends the gateway, leaves a place taken, or is told to another caller, as several requests are sent in one turn.
  Scenario Outline: Other requests are served while attempts for <share> of 100 requests throw
    Given a gateway with two upstreams that serve 4 requests at a time
    When 400 requests arrive, and starting an attempt throws for <share> of 100 of them
    Then nothing is thrown into the turns of the gateway
    And each of these requests is refused as not run with 3013, and nothing of it was sent
    And each other request is sent once and served
    And both upstreams have all their places free

    Examples:
      | share |
      | 10    |
      | 50    |
      | 100   |

  # Guards against an upstream that is avoided, or a retry budget that is spent, because of attempts that never left the process.
  Scenario: Requests are served at once, without a retry budget, by their second attempts
    Given a gateway with two upstreams that serve 4 requests at a time, and no retry budget
    When 40 requests arrive, 8 at a time, and the first attempt of each throws
    Then each of them is served in the turn of its arrival

  # Guards against requests that are neither sent nor refused because an action before theirs throws.
  Scenario: Requests are refused at their deadline though the refusal of another one throws
    Given a gateway without upstreams
    When 3 requests reach their deadline at once, and refusing the first of them throws
    Then one error is thrown into the turns of the gateway
    And the other 2 requests are refused as not run with 2007

  # Guards against upstreams that draw all requests, as no attempt at them counts as a failure and their places stay free.
  Scenario: Requests are served though no attempt can be started at 2 of 8 upstreams
    Given a gateway with 8 upstreams that serve 4 requests at a time each
    When 400 requests arrive, and starting an attempt throws at 2 of the upstreams
    Then nothing is thrown into the turns of the gateway
    And each other request is sent once and served

  # Guards against a stack that overflows, as each attempt that cannot be started starts the next one from within its own failure.
  Scenario: Many waiting requests that cannot be started end with their own outcomes
    Given a gateway with two upstreams that serve 4 requests at a time
    When all places are taken and 500 requests wait for which starting an attempt throws
    Then nothing is thrown into the turns of the gateway
    And each of these requests is refused as not run with 3013, and nothing of it was sent
    And both upstreams have all their places free

  # Guards against requests that are sent between the last look at what is in progress and the end of the process, and are lost with it.
  Scenario: A gateway that has aborted its requests sends nothing more
    Given a gateway with two upstreams that serve 4 requests at a time
    When the gateway stops at once, and 3 requests arrive after that
    Then the 3 requests are refused as not run with 2005, and nothing of them was sent
