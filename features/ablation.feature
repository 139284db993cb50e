Feature: What each rule of direct dispatch is worth
  The measurement itself; its figures are in the documents.

  Scenario: Each rule can be switched off
    Guards against a measurement that ends in an error since a rule was renamed.
    Then each rule of the ablation names what the daemon has
