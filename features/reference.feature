Feature: The reference pages name what there is
  An operator who looks a field or a reason up must find it.

  Scenario: Every field of the service document is on its page
    Then "docs/reference/service-document.md" names each field of the service document

  Scenario: Every setting is on its page
    Then "docs/reference/settings.md" names each setting

  Scenario: Every reason for a refusal is on the page of counters
    Then "docs/guides/counters.md" names each reason
