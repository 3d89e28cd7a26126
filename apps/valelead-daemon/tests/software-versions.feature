Feature: The register of software versions
  The leader registers the version of each upstream before gateways learn of the upstream, and keeps it for a minute after the last one has left.

  # Guards against a version that is removed while an upstream of it joins, so that streams of two versions are taken for streams of one.
  Scenario: A version whose removal is under way is registered again
    Given a leader that knows upstreams of versions "v1, v2"
    And the last upstream of version "v1" has left, and 70 seconds later its removal is not committed yet
    When an upstream of version "v1" joins and the log commits what it was given
    Then the register holds "v1, v2"

  # Guards against entries of the log that hold the whole announcement of an upstream.
  Scenario: A version is committed by its service and its name alone
    Given a leader that knows upstreams of versions "v1"
    Then the log was given "kind, service, softwareVersion"

  # Guards against a voter that leads again and counts the time since it last knew a version, in which another leader may have known it.
  Scenario: A voter that leads again counts the absence of a version anew
    Given a leader that knows upstreams of versions "v1"
    When version "v1" leaves for 30 seconds, joins again while another voter leads for 40 seconds, and the first voter leads for 5 seconds
    Then the register holds "v1"

  # Guards against streams of a version that the register does not hold, with joins, departures, slow commits and changes of leader in any order.
  Scenario: In random histories every version at which a stream can have begun in the last minute is registered
    Then in 400 random histories the register holds every version that gateways knew in the last 60 seconds
