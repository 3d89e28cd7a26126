Feature: Shares of the retries at the first routing of an installation
  The leader in whose term the first routing of all was proposed tells each gateway once, with its first routing, that nobody has spent a retry.

  # Guards against shares that are told where somebody may have spent them.
  Scenario Outline: A leader whose first routing came <when>
    Given a leader that hears 3 gateways
    When the first routing of the installation came <when>
    Then its gateways are told of "<shares>" shares

    Examples:
      | when                                             | shares |
      | in its term                                      | 6 6 6  |
      | in an earlier term                               | 0 0 0  |
      | in its term, 6000 ms ago                         | 0 0 0  |
      | in its term, after a gateway had another routing | 0 0 0  |
      | in its term, before it was elected once more     | 0 0 0  |

  # Guards against a gateway that is restarted again and again and takes the shares of the others.
  Scenario: A gateway that was restarted gets none
    Given a leader that hears 3 gateways
    When the first routing of the installation came in its term
    And the first gateway was told of it and is restarted
    Then its gateways are told of "0 6 6" shares

  # Guards against more shares than the whole.
  Scenario: Gateways that come later get what is left
    Given a leader that hears 1 gateway
    When the first routing of the installation came in its term
    And 5 more gateways come
    Then its gateways are told of "4 4 4 4 0 0" shares
