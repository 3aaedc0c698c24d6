Feature: Keys are granted and revoked

  Background:
    Given a daemon with the configuration of "puthenveettil"

  Scenario: A key is granted and its token is shown once
    When the operator runs "key grant pilgrims"
    Then the exit status is 0
    And the output contains "Token: lab_"
    When the operator runs "key list --team pilgrims"
    Then the output contains "valid"
    And the output does not contain "lab_"

  Scenario: Revoking a key needs a confirmation
    Given the operator has granted a key to "pilgrims"
    When the operator runs "key revoke KEY"
    Then the exit status is 2
    And the output contains "2002 CONFIRMATION_MISSING"
    And the output contains "of team pilgrims"
    When the operator runs "key list"
    Then the output contains "valid"
    When the operator runs "key revoke KEY --yes"
    Then the exit status is 0
    When the operator runs "key list"
    Then the output contains "revoked"

  Scenario: A repeated grant does not show a secret that is not the key's
    When the operator runs "key grant gangs --operation-id 00000000-0000-4000-8000-00000000000a"
    And the operator runs "key grant gangs --operation-id 00000000-0000-4000-8000-00000000000a"
    Then the exit status is 2
    And the output contains "1206 KEY_SECRET_NOT_SHOWN"
    And the output does not contain "lab_"

  Scenario: A command with an unknown token is refused
    When somebody with an unknown token runs "key grant pilgrims"
    Then the exit status is 3
    And the output contains "1204 OPERATOR_REFUSED"
