Feature: All faults of a configuration file are reported at once

  Scenario: An operator checks a file with several faults
    Given the example configuration of "hinokuni"
    And the line "needed = 6" is replaced by "needed = six"
    And the line "spare-pool = spare" is replaced by "spare-pool = buffer"
    And the line "weighting = share-closeness" is replaced by "weighing = share-closeness"
    When the operator runs "config check FILE"
    Then the exit status is 2
    And the output reports code 1104 at the line of "spare-pool = buffer"
    And the output reports code 1107 at the line of "needed = six"
    And the output reports code 1108 at the line of "weighing = share-closeness"
    And the output reports code 1109
    And the output contains "Mend: "

  Scenario: An operator checks a file without faults
    Given the example configuration of "puthenveettil"
    When the operator runs "config check FILE"
    Then the exit status is 0
    And the output contains "no faults"
