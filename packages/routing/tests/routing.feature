Feature: Routing
  Requests are routed by the configuration in force, and an invalid configuration is never accepted.

  Background:
    Given a routing configuration with these routes
      | name  | host      | prefix  | shares       | timeout |
      | wide  | a.example | /x/     | one:1        | 1000    |
      | deep  | a.example | /x/y/   | two:1        | 1000    |
      | split | b.example | /       | one:9, two:1 | 1000    |

  Scenario Outline: A request matches the route with the longest path prefix on its host
    When "<url>" is requested from host "<host>"
    Then the request matches route "<route>"

    Examples:
      | host           | url          | route |
      | a.example      | /x/z         | wide  |
      | a.example      | /x/y/z/w     | deep  |
      | A.Example:8080 | /x/y/z?q=/a/ | deep  |
      | a.example      | /x           |       |
      | a.example      | /xy/         |       |
      | b.example      | /            | split |
      | c.example      | /x/          |       |

  Scenario: Traffic is split by weight
    When 1000 requests of route "split" are spread evenly
    Then service "one" takes 900 of them

  Scenario Outline: An invalid route is reported with the reason
    When the configuration also has this route
      | name | host   | prefix   | shares   | timeout   |
      | bad  | <host> | <prefix> | <shares> | <timeout> |
    Then the fault at "routes.bad" says "<reason>"

    Examples:
      | host      | prefix | shares       | timeout | reason                                   |
      | a.example | /x/    | one:1        | 1000    | another route has the same host and prefix |
      | d.example | /      | three:1      | 1000    | service three does not exist             |
      | d.example | /      | one:0, two:0 | 1000    | the weights are negative or add up to 0  |
      | d.example | /      | one:1        | 0       | the timeout is not positive              |

  Scenario Outline: An invalid team is reported with the reason
    When the configuration also has teams "mill" with key "k1" and "<name>" with key "<key>" and quota <quota>
    Then the fault at "teams.<name>" says "<reason>"

    Examples:
      | name    | key | quota | reason                             |
      | foundry | k1  | 5     | a key is also a key of team mill   |
      | mill    | k2  | 5     | another team has the same name     |
      | foundry |     | 5     | a key is empty                     |
      | foundry | k2  | -1    | a figure of the quota is negative  |

  Scenario Outline: The team's priority takes precedence over the route's
    Given routes of priority "0, 1, 2" and teams of priority "0, 1"
    Then a request of <team> on a route of priority <route> has rank <rank>

    Examples:
      | team               | route | rank |
      | a team of priority 0 | 0   | 0    |
      | a team of priority 0 | 2   | 2    |
      | a team of priority 1 | 0   | 3    |
      | a team of priority 1 | 2   | 5    |
      | no team            | 1     | 7    |

  Scenario: Pairs of priorities keep their order if there are more pairs than ranks
    Given routes of priority "0, 1, 2, 3" and teams of priority "0, 1, 2, 3, 4"
    Then the ranks rise from 0 to 9 with the priorities

  Scenario: A request's rank is its route's priority if there are no teams
    Given routes of priority "0, 1, 2" and no teams
    Then a request of no team on a route of priority 2 has rank 2
