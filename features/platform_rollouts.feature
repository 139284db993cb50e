Feature: Roll-outs on the users' platform
  Real processes: a store, upstreams of two versions and entries.

  Scenario: Upstreams of a version without an order
    Guards against a bad version that gets an equal share before its order is read.
    Given a platform with two entries and an upstream of one version
    When a failing upstream of another version is registered
    Then for 0.4 s it runs none of the callers' requests

  Scenario: A version that fails
    Guards against a bad version that gets more than a canary's share, or isn't rolled back.
    Given a platform with two entries and an upstream of one version
    When a failing upstream of another version is registered
    And it is ordered to take over within 8 s, and callers send until the roll-out ends
    Then operators read "rolled_back"
    And it ran at most 10 in 100 of the requests, plus 50

  Scenario: A healthy version
    Guards against a roll-out that isn't completed in time, and responses lost at its end.
    Given a platform with two entries and an upstream of one version
    When a healthy upstream of another version is registered
    And it is ordered to take over within 8 s, and callers send until the roll-out ends
    Then operators read "completed"
    And every caller got a complete response
    And the upstream of the old version receives no more requests

  Scenario Outline: Entries are killed while a version that fails is a canary
    Guards against a roll-out that is never ended, or whose bounds are reset.
    Given a platform with two entries and an upstream of one version
    When a failing upstream of another version is registered
    And it is ordered to take over within 8 s, and <who> killed after 0.5 s
    And callers send until the roll-out ends
    Then operators read "rolled_back"
    And it ran at most 10 in 100 of the requests, plus 50

    Examples:
      | who                     |
      | the first entry is      |
      | both entries are        |

  Scenario: The store is unavailable while a version fails
    Guards against a bad version that continues because its end can't be written.
    Given a platform with two entries and an upstream of one version
    When a failing upstream of another version is registered
    And it is ordered to take over within 8 s, and the store is down from 0.5 s to 3 s
    And callers send until the roll-out ends
    Then operators read "rolled_back"
    And it ran at most 10 in 100 of the requests, plus 50
