Feature: A request that crashes each upstream that runs it
  The stand-in engines crash when a prompt holds a marker, and are started again.

  Scenario: The request is sent again under new keys, in innocent company
    Each crash names everything that ran beside it. After crashes of two
    distinct upstreams only the culprit ran in both, so it alone is refused,
    whatever its key; the bystanders are answered when they are sent again.
    Given two entries before three model engines that crash on poison
    When 6 completions of 60 tokens are sent through both entries
    And every completion has begun
    And the poison is sent through entry-1 and crashes an engine
    And the poison is sent through entry-2 and crashes another engine
    Then the poison is refused as quarantined by both entries
    When the bystanders are sent again
    Then every completion is answered whole
    And no promise is broken
