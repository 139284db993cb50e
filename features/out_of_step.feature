Feature: A stream is taken up at an entry that is out of step
  The third of three entries misses how versions change. Streams begin meanwhile through
  the others, break off, and are taken up at it.

  Scenario Outline: The versions change while an entry is out of step
    Guards against taking an old list for proof that no other version serves.
    Given upstreams m1 and m2 of v1
    And m3 and m4 of v2 that aren't listed yet
    And the third entry reaches the store through a link
    When the third entry is <how> from now on
    And it happens that <events>
    And 6 streams begin at the other entries and are broken off
    And it stays so for <s> s more
    And each is taken up there <when>, <naming>
    Then none goes on at another version, and what is refused didn't run
    And it is said how many were served

    Examples:
      | how     | events                     | s    | when            | naming                   |
      | paused  | v2 replaces v1             | 0.2  | at once         | naming no attempt        |
      | paused  | v2 replaces v1, 1.0 s pass | 0.1  | at once         | naming no attempt        |
      | paused  | v2 replaces v1, 1.0 s pass | 0.5  | at once         | naming the first attempt |
      | paused  | v2 replaces v1, 1.0 s pass | 0.1  | while it stands | naming no attempt        |
      | paused  | v2 replaces v1, 1.0 s pass | 0.1  | while it stands | naming the first attempt |
      | paused  | v2 comes, 4.5 s pass       | 0.5  | at once         | naming the first attempt |
      | paused  | v2 replaces v1, 1.0 s pass | 20.0 | at once         | naming the first attempt |
      | cut off | v2 replaces v1, 1.0 s pass | 0.1  | before          | naming no attempt        |
      | cut off | v2 replaces v1, 1.0 s pass | 0.1  | before          | naming the first attempt |
      | cut off | v2 replaces v1, 1.0 s pass | 0.1  | at once         | naming no attempt        |
      | slow    | v2 replaces v1, 1.0 s pass | 0.1  | before          | naming no attempt        |
      | slow    | v2 replaces v1, 1.0 s pass | 0.1  | before          | naming the first attempt |

  Scenario Outline: Only one version serves
    Guards against refusing streams as of an unknown version where there is only one.
    Given upstreams m1 and m2 of v1
    And the third entry reaches the store through a link
    When the third entry is <how> from now on
    And 6 streams begin at the other entries and are broken off
    And it stays so for <s> s more
    And each is taken up there at once, naming no attempt
    Then all 6 go on

    Examples:
      | how     | s   |
      | paused  | 1.5 |
      | cut off | 1.5 |
      | slow    | 0.1 |
