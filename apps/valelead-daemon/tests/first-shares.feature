Feature: Shares of the initial retry budget of an installation
  The leader in whose term the installation's first routing was proposed grants each gateway, with its first routing, a share of the unspent
  retry budget.

  # Guards against granting shares that a gateway may already have spent.
  Scenario Outline: The first routing was proposed <when>
    Given a leader with 3 gateways
    When the first routing of the installation is proposed <when>
    Then the gateways receive the share counts "<shares>"

    Examples:
      | when                                             | shares |
      | in its term                                      | 6 6 6  |
      | in an earlier term                               | 0 0 0  |
      | in its term, 6000 ms ago                         | 0 0 0  |
      | in its term, after a gateway had another routing | 0 0 0  |
      | in its term, before it was elected once more     | 0 0 0  |

  # Guards against a gateway that restarts repeatedly and takes the shares of the other gateways.
  Scenario: A restarted gateway gets no second share
    Given a leader with 3 gateways
    When the first routing of the installation is proposed in its term
    And the first gateway receives it and restarts
    Then the gateways receive the share counts "0 6 6"

  # Guards against granting more shares than the budget was divided into.
  Scenario: Gateways that connect later get the remaining shares
    Given a leader with 1 gateway
    When the first routing of the installation is proposed in its term
    And 5 more gateways connect
    Then the gateways receive the share counts "4 4 4 4 0 0"
