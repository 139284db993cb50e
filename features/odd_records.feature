Feature: Records that nobody can use, left by another writer
  Two entries stand before upstreams; callers come all the while.

  Scenario Outline: An odd record among those of the upstreams
    Guards against one record that stops an entry from following all the others.
    Given two entries with callers before desk-1 and desk-2
    When another writer leaves a record of an upstream with <oddity>
    And the listed upstream desk-1 reports its leaving
    And an upstream desk-3 comes
    Then the upstream desk-1 gets no request after its drain time, and desk-3 gets some
    And an entry that starts again is ready
    And both entries tell which record they couldn't read

    Examples:
      | oddity                         |
      | warmup-left-ms huge            |
      | nested deeply within an object |
      | port 65536                     |
      | version '\ud800'               |
      | slots huge                     |
      | born huge                      |
