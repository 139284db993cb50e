Feature: A stream goes on at the software version that began it
  What two versions of a back end write doesn't fit together, and upstreams don't check it.
  Three entries stand before upstreams of v1 and v2.

  Scenario: Streams are resumed within one answer
    Guards against a resumed stream whose rest another version writes.
    Given upstreams m1 and m2 of v1, and m3, m4 and m5 of v2
    And each of them cuts its first stream after 2 events
    When 18 streams are requested through the entries in turn
    Then each is whole and of one version

  Scenario: No other upstream of its version is left within an answer
    Guards against going on at another version rather than breaking off.
    Given upstreams m1 of v1, and m3, m4 and m5 of v2
    And each of them cuts its first stream after 2 events
    When 12 streams are requested through the entries in turn
    Then those of v1 break off visibly, and the others are whole and of one version

  Scenario: A silent stream is moved
    Guards against a slot that is reserved at another version.
    Given upstreams m1 of v1, and m3, m4 and m5 of v2
    When streams begin at m1, which then falls silent for 4 s
    Then none of them has events of v2, and each that is whole is of v1

  Scenario Outline: Callers take streams up again
    Guards against an entry that doesn't know which version began a stream.
    Given upstreams m1 and m2 of v1, and m3, m4 and m5 of v2
    When 8 streams begin through entry-1 and are broken off by their callers
    And meanwhile <event>
    And each is taken up at <entry>
    Then each goes on at its version
    When once more, by the attempt that began it, each is taken up at entry-3
    Then each goes on at its version

    Examples:
      | event                                      | entry   |
      | nothing else happens                       | entry-1 |
      | nothing else happens                       | entry-2 |
      | entry-1 is killed                          | entry-2 |
      | entry-1 is killed, then entry-4 starts     | entry-4 |
      | entry-2 is killed, then entry-2 starts again | entry-2 |
      | entry-1 and entry-2 are killed             | entry-3 |
      | entry-1 is killed, then entry-1 starts again | entry-1 |

  Scenario: An entry is suspended while streams begin
    Guards against versions that an entry was told of once, and missed.
    Given upstreams m1 and m2 of v1, and m3, m4 and m5 of v2
    When 8 streams begin through entry-1 and are broken off while entry-2 is suspended
    And meanwhile entry-1 is killed
    And each is taken up at entry-2
    Then each goes on at its version

  Scenario: Its version comes later, and the stream began before
    Guards against telling others only once there are two versions.
    Given upstreams m1 and m2 of v1
    When 8 streams begin through entry-1 and are broken off by their callers
    And further upstreams m3, m4 and m5 of v2 start
    And meanwhile entry-1 is killed
    And each is taken up at entry-2
    Then each goes on at its version

  Scenario: Its version is gone
    Guards against a refusal that isn't true, and against going on elsewhere.
    Given upstreams m1 of v1, and m3, m4 and m5 of v2
    When streams begin at m1 and are broken off by their callers
    And upstream m1 is dropped from the list
    And each is taken up at entry-2
    Then each is refused with "stream_version_gone" and didn't run
    When further upstreams m6 of v1 start
    And each is taken up at entry-3
    Then each goes on at its version

  Scenario: Nobody knows the attempt
    Guards against guessing the version of a stream.
    Given upstreams m1 and m2 of v1, and m3, m4 and m5 of v2
    When a stream of an attempt that nobody knows is taken up at each entry
    Then each is refused with "stream_version_unknown" and didn't run
    When a stream is taken up at each entry without naming an attempt
    Then each is refused with "stream_version_unknown" and didn't run

  Scenario: Only one version has ever served
    Guards against refusing streams of which only one version can be.
    Given upstreams m1 and m2 of v1
    When all entries are killed and start again before a stream is taken up
    Then each goes on
