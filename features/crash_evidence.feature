Feature: What proves that content crashed an upstream, and what excuses it
  Entries exchange gossip without a network; upstreams end in each way that shows.

  Scenario Outline: An end of an upstream that only the list shows
    Guards against crashes that no connection proves.
    Given 3 entries and 6 upstreams
    When "culprit" ends as "<answer>" at u1 through entry-0, and the list <shows>
    And "culprit" ends as "<answer>" at u2 through entry-1, and the list <shows>
    Then every entry refuses "culprit"

    Examples:
      | answer | shows                         |
      | broken | drops it                      |
      | broken | has another id at its address |
      | broken | names a later start of it     |
      | silent | drops it                      |
      | silent | has another id at its address |
      | silent | names a later start of it     |
      | left   | drops it                      |
      | left   | has another id at its address |

  Scenario: Another entry finds another upstream at the address
    Guards against a proof that stays with the entry that found it.
    Given 3 entries and 6 upstreams
    When "culprit" ends as "broken" at u1 through entry-0, and entry-1 finds another there
    And "culprit" ends as "broken" at u2 through entry-0, and entry-2 finds another there
    Then every entry refuses "culprit"

  Scenario: The answer breaks off after the end is known
    Guards against an order of events in which the proof comes first.
    Given 3 entries and 6 upstreams
    When entry-1 finds another upstream at u1, and "culprit" then ends as "broken" at entry-0
    And entry-1 finds another upstream at u2, and "culprit" then ends as "broken" at entry-0
    Then every entry refuses "culprit"

  Scenario: The list is read seconds after the crash
    Guards against forgetting a broken answer before a silent upstream's record lapses.
    Given 3 entries and 6 upstreams
    When "culprit" ends as "silent" at u1 through entry-0, and the list drops it 6 s later
    And "culprit" ends as "broken" at u2 through entry-1, and the list drops it 6 s later
    Then every entry refuses "culprit"

  Scenario Outline: An entry misses the messages
    Guards against evidence that is told once.
    Given 3 entries and 6 upstreams
    When entry-2 <misses> while "culprit" crashes u1 and u2
    Then every entry refuses "culprit"

    Examples:
      | misses         |
      | hears nothing  |
      | has not begun  |
      | starts again   |

  Scenario: The entry that proved it ends
    Guards against evidence that is lost with its first entry.
    Given 3 entries and 6 upstreams
    When "culprit" crashes u1 and u2 through entry-0, which is gone 0.3 s later
    And the fleet's entry-2 starts again
    Then every entry refuses "culprit"

  Scenario: The services of its route change
    Guards against counting the crashes of each service by themselves.
    Given 3 entries and 6 upstreams
    When by service, "culprit" crashes u1 of "narrative" and v1 of "other"
    Then every entry refuses "culprit" for both services

  Scenario: Content that was answered once before crashes upstreams
    Guards against one answer that excuses content for ever.
    Given 3 entries and 6 upstreams
    When "culprit" is answered at u6 through each entry
    And in turn, "culprit" crashes u1, u2, u3 and u4
    Then every entry refuses "culprit"

  Scenario: A quarantine is over, and the content crashes another upstream
    Guards against proving again what was proved.
    Given 3 entries and 6 upstreams
    When in turn, "culprit" crashes u1 and u2
    And 610 s pass
    Then no entry of the fleet refuses "culprit"
    When in turn, "culprit" crashes u3
    Then every entry refuses "culprit"

  Scenario: It waits as it is proved
    Guards against sending what was accepted before the proof.
    Given 3 entries and 6 upstreams
    When "culprit" and "innocent" wait at entry-1 as the first crashes u1 and u2
    Then "culprit" is refused there at once, and "innocent" still waits

  Scenario Outline: Innocent content isn't refused
    Guards against refusing what merely ran, or broke off, near an upstream's end.
    Given 3 entries and 6 upstreams
    When each time, "innocent" <meets> u1, u2 and u3
    Then no entry of the fleet refuses "innocent"

    Examples:
      | meets                                                            |
      | breaks off at, but later answers come from, and the list drops   |
      | breaks off at the announced end of                               |
      | breaks off after the list has dropped                            |
      | falls silent for one entry, which can't connect to,              |
      | is cancelled by its caller in mid-stream, and the list drops     |
      | breaks off without an end of                                     |
      | breaks off 20 s before the end of                                |
      | crashes together with the culprit of each, by another entry, at  |
      | is answered again after each crash of                            |

  Scenario: An upstream that was taken for crashed answers again, at one entry
    Guards against evidence that its entries tell each other again and again.
    Given 3 entries and 6 upstreams
    When "innocent" breaks off at u1 and u2, and another entry is told that they ended
    And both answer another request at entry-2, 1 s later
    Then no entry of the fleet refuses "innocent"
    And 5 s later no entry of the fleet refuses "innocent"

  Scenario: A dropped upstream is listed again
    Guards against an outage of the list that is taken for crashes.
    Given 3 entries and 6 upstreams
    When "innocent" ends as "silent" at u1 through entry-0, and the list drops it
    And "innocent" ends as "silent" at u2 through entry-0, and the list drops it
    And both are listed again
    Then no entry of the fleet refuses "innocent"
    When in turn, "culprit" crashes u1 and u2
    Then every entry refuses "culprit"

  Scenario: Two upstreams lose power while a stream is moved from one to the other
    Guards against refusing content that met two of several ends at once.
    Given 3 entries and 6 upstreams
    When u1, u2 and u3 end at once, and "innocent" breaks off at u1 and u2
    Then no entry of the fleet refuses "innocent"

  Scenario: Popular content runs wherever an upstream ends
    Guards against refusing what all callers send.
    Given 3 entries and 6 upstreams
    When "popular" is answered at u6 through each entry
    And u1, u2 and u3 end while "popular" runs there through each entry
    Then no entry of the fleet refuses "popular"

  Scenario: Content that was refused is answered after all
    Guards against refusing what has proved to be harmless.
    Given 3 entries and 6 upstreams
    When in turn, "innocent" crashes u1 and u2
    And "innocent", sent before, is answered at u6 through entry-1
    Then no entry of the fleet refuses "innocent"
