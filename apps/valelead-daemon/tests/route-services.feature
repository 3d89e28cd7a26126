Feature: The register of the services of moved routes
  The leader registers the services to which a route of streams led before it commits the routing that moves the route, and keeps them for a minute.

  # Guards against a stream that goes on at a service which did not begin it: routes that move, are split by longer prefixes, are removed and come back, with slow commits and changes of leader in any order.
  Scenario: In random histories every service at which a stream can have begun in the last minute is registered
    Then in 400 random histories no other service than those of its URL's streams of the last 60 seconds is taken for the only one
