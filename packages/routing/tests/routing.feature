Feature: Routing
  A request goes where the routing in force says, and a routing with faults is never accepted.

  Background:
    Given a routing with these routes
      | name  | host      | prefix  | shares       | timeout |
      | wide  | a.example | /x/     | one:1        | 1000    |
      | deep  | a.example | /x/y/   | two:1        | 1000    |
      | split | b.example | /       | one:9, two:1 | 1000    |

  Scenario Outline: The longest prefix of the host decides
    When "<url>" is asked for at "<host>"
    Then route "<route>" takes it

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

  Scenario Outline: A fault is named
    When the routing also has this route
      | name | host   | prefix   | shares   | timeout   |
      | bad  | <host> | <prefix> | <shares> | <timeout> |
    Then the fault at "routes.bad" says "<reason>"

    Examples:
      | host      | prefix | shares       | timeout | reason                                   |
      | a.example | /x/    | one:1        | 1000    | another route has the same host and prefix |
      | d.example | /      | three:1      | 1000    | service three does not exist             |
      | d.example | /      | one:0, two:0 | 1000    | the weights are negative or add up to 0  |
      | d.example | /      | one:1        | 0       | the timeout is not positive              |
