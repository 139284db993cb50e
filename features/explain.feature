Feature: Explaining a request from the logs of several processes
  Engineers on call have only a request's id and log files.

  Scenario: A request is refused although the caller expects free capacity
    Every upstream reports that it is full, so the request is refused. The explanation
    gives the reason, the upstreams that were tried, and that nothing ran.
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every desk upstream answers "full"
    When a plain response is requested through the entry
    And its id is explained from the entry's log
    Then the explanation contains "No upstream had a free slot in time; it has not run."
    And the explanation contains "desk-1:not_run"
    And the explanation contains "told "not run", since desk-"
    And the explanation contains ": not_executed, 503"
    And the explanation contains "catalog in force: version=1"

  Scenario: A stream breaks off midway
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every model upstream cuts its first stream after 3 events
    When a stream that must run at most once is requested through the entry
    And its id is explained from the entry's log
    Then the explanation contains "The answer broke off after it had begun"
    And the explanation contains ":broken"

  Scenario: A request may have run, but no answer arrived
    Given a platform with an entry, two model upstreams and two desk upstreams
    And every desk upstream answers "truncate"
    When 1 idempotent and 1 at-most-once requests are sent through the entry
    And the at-most-once one's id is explained from the entry's log
    Then the explanation contains "It may have run, but no complete answer arrived."
    And the explanation contains "told that it may have run, since desk-"
    And the explanation contains ": answer, 200"

  Scenario: An upstream said long ago that it limits its requests
    Guards against a request whose upstream was left out for a reason that isn't shown.
    Given a log file of a request for which a limited upstream was left out
    When its id is explained from them
    Then the explanation contains "limit of 2 per s: next in 0.31 s"
    And the explanation contains "upstream limits its requests: upstream=model-1, per_s=2"
    And the explanation contains "upstream asks for a pause: upstream=model-1, pause_s=1.5"
    And the explanation omits what other upstreams said

  Scenario: A request was given up at its deadline after two upstreams
    Guards against a line that doesn't tell what a request waited for.
    Given a log file of a request that waited for two upstreams, and of one still held
    When its id is explained from them
    Then the explanation contains "It waited for model-1: head, 1.400 s, 0 bytes, silent; then model-2: first_event, 0.551 s, 310 bytes, deadline."

  Scenario: A request is still handled past its deadline
    Guards against a request that has no line, since it hasn't ended.
    Given a log file of a request that waited for two upstreams, and of one still held
    When the held one's id is explained from them
    Then the explanation contains "It was still handled past its deadline"
    And the explanation contains "model-2"

  Scenario: A request was sent elsewhere, and twice, since upstreams were slow
    Guards against a choice or a second run that an operator can't explain.
    Given a log file of a request that was hedged while an upstream was slow
    When its id is explained from them
    Then the explanation contains "won, after 0.061 s"
    And the explanation contains "{'model-1': 2.5}"
    And the explanation contains "upstream is slow at the moment: upstream=model-1"

  Scenario: A request is refused since its content crashed upstreams
    Guards against a refusal whose crashes only other entries have logged.
    Given log files of a request whose content crashed upstreams at another entry
    When its id is explained from them
    Then the explanation contains "Its content crashed upstreams; it has not run."
    And the explanation contains "upstream ended: upstream=model-1, service=model, sign=refused"
    And the explanation contains "content quarantined: content=c0ffee, upstreams=['model-1', 'model-2']"
    And the explanation omits ends in which it didn't run

  Scenario: A request is refused since a part of its prompt crashed upstreams
    Guards against a refusal that names neither the part nor the crashes behind it.
    Given log files of a request whose prompt has a part that crashed upstreams elsewhere
    When its id is explained from them
    Then the explanation contains "requests with those parts of its prompt did"
    And the explanation contains "content quarantined: content=part:bad1"
    And the explanation contains "upstream ended: upstream=model-1, service=model, sign=refused"
    And the explanation omits ends in which it didn't run

  Scenario: A stream is refused, since the version that began it is gone
    Guards against a refusal whose stream began at another entry, under another id.
    Given log files of a stream that began at one entry and was refused at another
    When its id is explained from them
    Then the explanation contains "No upstream of the version that began its stream is left"
    And the explanation contains "request=r0"
    And the explanation contains "versions={'model-1': 'v1'}"
    And the explanation contains "versions of a service listed lately: service=model, versions=['v1', 'v2']"

  Scenario Outline: A stream was taken up
    Guards against a version that an operator can't trace to what is known of it.
    Given a log file of a stream that was taken up as "<taken_up>"
    When its id is explained from them
    Then the explanation contains "<text>"

    Examples:
      | taken_up     | text                                                              |
      | v1, known    | Its stream began at version v1: this entry knew the stream        |
      | v1, only_one | at version v1: no other version is recorded in the store          |
      | v1, recorded | at version v1: the store had the stream's record                  |
      | v1, asked    | at version v1: another entry knew the stream                      |
      | unknown      | The version that began its stream isn't known                     |

  Scenario: Lines are truncated, from other programs or out of order
    A log collector truncated a line, put names before others, and changed the order.
    Given log files with truncated, unrelated and reordered lines about one request
    When its id is explained from them
    Then the explanation contains "keys_stale"
    And the explanation lists the loss of the store before its recovery
    And the explanation contains "2 lines that are no log records were left out"
    And the explanation omits what another process wrote

  Scenario: No line is about the request, or a file is missing
    When an operator runs "explain nobody README.md"
    Then it exits with 1 and prints "nobody: in none of 0 log lines"
    When an operator runs "explain nobody no-such-file"
    Then it exits with 1 and prints "no-such-file: No such file or directory"
