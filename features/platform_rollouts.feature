Feature: Roll-outs on the users' platform
  Real processes: a store, upstreams of two versions and entries.

  Scenario: Upstreams of a version that nobody ordered
    Guards against a bad version that gets an equal share before its order is read.
    Given a platform with two entries and an upstream of one version
    When an upstream of another version is registered, which fails
    Then for 0.4 s it runs nothing of what callers send

  Scenario: A version that fails
    Guards against a bad version that gets more than a canary's share, or isn't rolled back.
    Given a platform with two entries and an upstream of one version
    When an upstream of another version is registered, which fails
    And it is ordered to take over within 8 s, and callers send until its end
    Then operators read "rolled_back"
    And it ran at most 10 in 100 of the requests and 50 more

  Scenario: A sound version
    Guards against a version that isn't completed in time, and answers lost by its end.
    Given a platform with two entries and an upstream of one version
    When an upstream of another version is registered, which is sound
    And it is ordered to take over within 8 s, and callers send until its end
    Then operators read "completed"
    And every caller was answered whole
    And the upstream of the old version gets nothing more

  Scenario Outline: Entries are killed while a version that fails is a canary
    Guards against a roll-out that nobody ends, or whose bounds start anew.
    Given a platform with two entries and an upstream of one version
    When an upstream of another version is registered, which fails
    And it is ordered to take over within 8 s, and <who> killed after 0.5 s
    And callers send until its end
    Then operators read "rolled_back"
    And it ran at most 10 in 100 of the requests and 50 more

    Examples:
      | who                     |
      | the first entry is      |
      | both entries are        |

  Scenario: The store turns everybody away while a version fails
    Guards against a bad version that goes on because its end can't be written.
    Given a platform with two entries and an upstream of one version
    When an upstream of another version is registered, which fails
    And it is ordered to take over within 8 s, and the store is down from 0.5 s to 3 s
    And callers send until its end
    Then operators read "rolled_back"
    And it ran at most 10 in 100 of the requests and 50 more
