Feature: A stream is taken up after all entries were killed
  Nobody is left who saw it begin. Three entries stand before upstreams that name their
  version in each event.

  Scenario Outline: The versions change around the kill
    Guards against taking the only version that is listed for the one that began a stream.
    Given upstreams m1 and m2 of v1
    And m3 and m4 of v2 that aren't listed yet
    When 6 streams begin through the entries in turn and are broken off
    And it happens that <events>
    And each stream is taken up through the entries in turn
    Then none goes on at another version, and each that is refused didn't run

    Examples:
      | events                                                                           |
      | v2 replaces v1, 0.1 s pass, all entries are killed, they start                   |
      | v2 replaces v1, 0.5 s pass, all entries are killed, they start                   |
      | v2 replaces v1, 2.5 s pass, all entries are killed, they start                   |
      | all entries are killed, v2 replaces v1, they start                               |
      | all entries are killed, they start, 0.2 s pass, v2 replaces v1                   |
      | all entries are killed, they start, 4.0 s pass, v2 replaces v1, 1.5 s pass       |
      | v2 replaces v1, 0.5 s pass, all entries are killed, they start, 3.0 s pass, all entries are killed, they start |

  Scenario Outline: The versions go back to what they were
    Guards against a version that served between two others, and is forgotten.
    Given upstreams m1 and m2 of v1
    And m3 and m4 of v2 that aren't listed yet
    When it happens that <before>
    And 6 streams begin through the entries in turn and are broken off
    And it happens that <events>
    And each stream is taken up through the entries in turn
    Then none goes on at another version, and each that is refused didn't run

    Examples:
      | before                                       | events                                                             |
      | v2 replaces v1, 2.5 s pass                   | v1 replaces v2, 0.1 s pass, all entries are killed, they start     |
      | v2 replaces v1, 2.5 s pass                   | v1 replaces v2, 3.0 s pass, all entries are killed, they start     |
      | v2 replaces v1, 2.5 s pass                   | all entries are killed, v1 replaces v2, they start                 |
      | the store is copied, v2 replaces v1, 2.5 s pass | all entries are killed, v1 replaces v2, the store goes back, they start |

  Scenario: The store takes no writes while a version begins to serve
    Guards against streams that wait for the store, and a version that nobody could record.
    Given upstreams m1 and m2 of v1
    And m3 and m4 of v2 that aren't listed yet
    When it happens that the store takes no writes, v2 replaces v1, 2.5 s pass
    And 6 streams begin through the entries in turn and are broken off
    And it happens that all entries are killed, the store takes writes, they start
    And each stream is taken up through the entries in turn
    Then none goes on at another version, and each that is refused didn't run

  Scenario Outline: Both versions serve as all entries are killed
    Guards against refusing all streams that are taken up after a kill of all entries.
    Given upstreams m1 and m2 of v1, and m3, m4 and m5 of v2
    When 12 streams begin through the entries in turn and are broken off
    And it happens that <events>
    And each stream is taken up through the entries in turn
    Then none goes on at another version, and each that is refused didn't run
    And all 12 go on

    Examples:
      | events                                                                       |
      | 1.5 s pass, all entries are killed, they start                               |
      | 1.5 s pass, all entries are killed, they start, 2.0 s pass                   |
      | 1.5 s pass, all entries are killed, they start, all entries are killed, they start |

  Scenario: The old version is gone as all entries are killed
    Guards against refusing the streams of the version that still serves.
    Given upstreams m1 and m2 of v1
    And m3 and m4 of v2 that aren't listed yet
    When it happens that v2 replaces v1, 2.5 s pass
    And 6 streams begin through the entries in turn and are broken off
    And it happens that 1.5 s pass, all entries are killed, they start
    And each stream is taken up through the entries in turn
    Then all 6 go on

  Scenario Outline: Only one version has served
    Guards against refusing streams of which only one version can be.
    Given upstreams m1 and m2 of v1
    When 6 streams begin through the entries in turn and are broken off
    And it happens that <events>
    And each stream is taken up through the entries in turn
    Then all 6 go on

    Examples:
      | events                                                                        |
      | all entries are killed, they start                                            |
      | 2.0 s pass, all entries are killed, they start, all entries are killed, they start |
      | the store is copied, the store goes back, 2.0 s pass, all entries are killed, they start |
