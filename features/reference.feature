Feature: The reference pages name what there is
  An operator who looks a field or a reason up must find it.

  Scenario: Every field of the service document is on its page
    Then "docs/reference/service-document.md" names each field of the service document

  Scenario: Every setting is on its page
    Then "docs/reference/settings.md" names each setting

  Scenario: Every reason for a refusal is on the page of counters
    Then "docs/guides/counters.md" names each reason

  Scenario: Every reason is on the callers' page of refusals, with its status
    Then "docs/reference/problems.md" names each reason
    And it gives each reason's status

  Scenario: Every header that a caller may send is on its page
    Then "docs/reference/caller-headers.md" names each header that callers may send
