Feature: The platform's log and member list over HTTP
  A failed append either certainly wrote nothing or has an unknown outcome. The
  adapter's caller must be able to tell these apart, or it would publish twice.

  Background:
    Given a platform log stand-in

  Scenario: Offsets order the records of all streams
    When "a" is appended to the stream "services"
    And "b" is appended to the stream "roster"
    Then the stream "services" from offset 0 holds "a"
    And the stream "roster" from offset 0 holds "b"
    And both streams end at offset 3

  Scenario: A log that is down has certainly not appended
    Given the log's mode is "down"
    When "a" is appended to the stream "services"
    Then the append's error is LogUnavailable
    And after the outage the stream "services" holds ""

  Scenario: A log that is gone has certainly not appended
    Given the log's process is killed
    When "a" is appended to the stream "services"
    Then the append's error is LogUnavailable

  Scenario: The answer to an append is lost
    The log appends the record, then the connection is cut. The writer sees an
    unknown outcome; a retry in the adapter would have appended it twice.
    Given the log's mode is "lose_answers"
    When "a" is appended to the stream "services"
    Then the append's error is LogOutcomeUnknown
    And after the outage the stream "services" holds "a"

  Scenario: The connection is cut before the append
    The writer sees the same as when the answer is lost, and nothing is appended.
    Given the log's mode is "cut"
    When "a" is appended to the stream "services"
    Then the append's error is LogOutcomeUnknown
    And after the outage the stream "services" holds ""

  Scenario: Too many appends in a time
    Given the log accepts 1 append per hour
    When "a" is appended to the stream "services"
    And "b" is appended to the stream "services"
    Then the append's error is LogUnavailable

  Scenario: A record that can't be read doesn't hide the ones after it
    When "a" is appended to the stream "services"
    And a corrupt record is appended to the stream "services"
    And "b" is appended to the stream "services"
    Then the stream "services" from offset 0 holds "a,b"
    And offset 2 of it is reported as corrupt

  Scenario: Records past retention are gone, and the reader can tell
    Given the log keeps 2 records
    When "a" is appended to the stream "services"
    And "b" is appended to the stream "roster"
    And "c" is appended to the stream "services"
    Then the stream "services" from offset 0 holds "c"
    And its oldest offset is 2

  Scenario: A long stream is read page by page
    When 7 records are appended to the stream "services"
    Then reading it in pages of 3 gives each once, in order

  Scenario: The member list lags
    Given a member list stand-in with the members "e1"
    Then the member list reads "e1"
    When it lags and is set to the members "e1,e2"
    Then the member list reads "e1"
    When it stops lagging
    Then the member list reads "e1,e2"

  Scenario: The member list is down
    Given a member list stand-in with the members "e1"
    When the member list goes down
    Then the member list gives MemberListUnavailable

  Scenario: Whatever bytes come, the decoders answer with a value or a typed error
    Then no page of random bytes or JSON raises
    And no member list of random bytes or JSON raises
