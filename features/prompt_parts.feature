Feature: Parts of prompts that crash the upstreams that read them
  No two requests are alike; what they share is blamed, and nothing that sound requests
  share. Entries exchange gossip without a network, except where they are processes.

  Scenario Outline: A part crashes upstreams, whatever else its requests hold
    Guards against blaming whole contents only.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "<parts>" crash an upstream each, with sound ones between
    Then new requests are refused everywhere with the parts "<parts>"
    And every entry accepts requests with the parts "a", "b", "c", "a b" and none

    Examples:
      | parts |
      | a x   |
      | x a   |
      | a x b |
      | x     |

  Scenario: Its other parts differ each time
    Guards against blaming a combination that only some requests have.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When requests with the parts "a x", "x b", "c x" and "x a" crash an upstream each
    Then new requests are refused everywhere with the parts "x"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario: Each of its requests is sent twice
    Guards against contents that are refused one by one, and hide their part.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 3 requests with the parts "a x" crash an upstream each, and once more
    Then new requests are refused everywhere with the parts "a x"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario: Two requests with a part crash an upstream each
    Guards against blaming a part by chance.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 2 requests with the parts "a x" crash an upstream each, with sound ones between
    Then every entry accepts requests with the parts "a", "x" and "a x"

  Scenario: All requests share a part, and entries have just started
    Guards against blaming what nothing has cleared yet.
    Given 3 entries and 20 upstreams
    When 5 requests with the parts "a x" crash an upstream each, beside sound ones of "a"
    Then new requests are refused everywhere with the parts "a x"
    And every entry accepts requests with the parts "a" and "a b"

  Scenario: Upstreams end before anything is answered
    Guards against refusing all requests for what all of them share.
    Given 3 entries and 20 upstreams
    When 9 requests with the parts "a b" crash an upstream each, beside sound ones of "a b"
    Then every entry accepts requests with the parts "a" and "a b"

  Scenario: Most requests of a quiet route crash
    Guards against blaming what the requests of a route share.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "k x" crash an upstream each, with sound ones of "b" between
    Then new requests are refused everywhere with the parts "k x"
    And every entry accepts requests with the parts "k", "b" and "a"

  Scenario: The memory of what was answered is full
    Guards against a bound behind which sound parts look bad.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    And each entry has answered requests with 20000 other parts
    When 5 requests with the parts "a x" crash an upstream each, with sound ones between
    Then new requests are refused everywhere with the parts "a x"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario: A part is sound for long and goes bad
    Guards against answers that excuse a part for ever.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a x", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "a x" crash an upstream each, with sound ones of "b" between
    Then new requests are refused everywhere with the parts "a x"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario: A part is mended
    Guards against refusing for ever what no longer crashes anything.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "a x" crash an upstream each, with sound ones between
    Then new requests are refused everywhere with the parts "a x"
    When 610 s pass
    And a request with the parts "a x" is answered through entry-1
    And 1 requests with the parts "a x" crash an upstream each, with sound ones between
    Then every entry accepts requests with the parts "a x" and "a"

  Scenario: Two parts are bad at once
    Guards against blaming what the requests with either have in common.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When requests with "a x" and with "a y" crash 4 upstreams each in turn, with sound ones between
    Then new requests are refused everywhere with the parts "a x"
    And new requests are refused everywhere with the parts "a y"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario Outline: Upstreams end for another reason
    Guards against refusing what merely ran there.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "a b" and "c" at every entry for 10 s
    When <ends> while requests with the parts "a", "a b" and "c" run there
    Then every entry accepts requests with the parts "a", "b", "c", "a b" and none

    Examples:
      | ends                                             |
      | 6 upstreams end at once                          |
      | 6 upstreams end, 2 s after each other            |
      | 6 upstreams end, each beside 3 requests of "a b" |

  Scenario: Streams move from one crashed upstream to the next
    Guards against refusing content that a bad part has met again and again.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "a x" crash an upstream each, beside the same request "moved" with "b"
    Then every entry accepts the request "moved"
    And new requests are refused everywhere with the parts "a x"

  Scenario: A stream that met a bad part four times meets an end for another reason
    Guards against refusing what went on after each crash.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "a x" crash an upstream each, beside the same request "moved" with "b"
    And an upstream ends while the request "moved" runs there
    Then every entry accepts the request "moved"

  Scenario: Half answers that look whole hold the part
    Guards against clearing a part by an answer that its upstream did not outlive.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "a x" end with their connections as their upstreams crash
    Then new requests are refused everywhere with the parts "a x"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario: An entry hears nothing, and another starts later
    Guards against an entry that wasn't there when a part was blamed.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When entry-2 hears nothing while 5 requests with the parts "a x" crash an upstream each
    And the fleet's entry-1 starts again
    Then new requests are refused everywhere with the parts "a x"
    And every entry accepts requests with the parts "a", "b" and "c"

  Scenario: A request with the part waits
    Guards against sending what was accepted before its part was blamed.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When a request with "a x" and one with "a" wait at entry-1 as 5 with "a x" crash an upstream each
    Then the first is refused there, and the second still waits

  Scenario: An engineer on call clears a part
    Guards against evidence that overrules who knows better.
    Given 3 entries and 20 upstreams
    And sound requests with the parts "a", "b" and "c" at every entry for 10 s
    When 5 requests with the parts "a x" crash an upstream each, with sound ones between
    And the record of the part's quarantine is deleted
    Then every entry accepts requests with the parts "a x" and "a"

  Scenario: Requests have thousands of parts a second
    Guards against memory that grows with the parts of prompts.
    Given the use of 100000 parts, each in one request, and of "a" in every tenth
    Then it remembers at most 8192 parts
    And it knows the share of "a" in all requests within 0.02
    And it has forgotten when the first of the others was answered

  Scenario: A part crashes engines behind several entries
    Guards against parts that get lost between the platform's header and the evidence.
    Given 3 entries before 14 model upstreams that crash on the part "bad1"
    When requests with "aa,bad1" and with "aa" are sent through each entry in turn, 12 times each
    Then at most 6 upstreams have crashed
    And prompts with "aa,bad1" are refused as not run everywhere, and "aa" is served
    When all entries are killed and start again
    Then prompts with "aa,bad1" are refused as not run everywhere, and "aa" is served
