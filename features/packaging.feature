Feature: The built package
  An editable install reads the source tree, so it hides modules that are missing from
  the wheel; every program then fails at import on an operator's machine.

  Scenario: A package that the build leaves out
    Given the wheel, installed into a fresh environment
    When its command runs "--help" in another folder
    Then it exits with 0 and prints "Exit status"
    When its command runs "settings check settings.yaml" in another folder
    Then it exits with 0 and prints "settings.yaml: in order"
    When each of its modules is imported in another folder
    Then it exits with 0 and prints "imported"
