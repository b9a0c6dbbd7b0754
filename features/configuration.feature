Feature: The operator's configuration is accepted completely or rejected with all errors reported

  Scenario: A valid configuration is accepted and preserved unchanged
    Given a valid configuration
    And its field "routes[0].note" is "an unknown field"
    When it is parsed
    Then it is accepted
    And it is preserved exactly as submitted

  Scenario: Optional fields have defaults
    Given a valid configuration
    And its field "limits" is absent
    And its field "routes[0].timeout_ms" is absent
    When it is parsed
    Then it is accepted

  Scenario Outline: A single error is reported with its path
    Given a valid configuration
    And its field "<field>" is <value>
    When it is parsed
    Then it is rejected with errors at exactly
      | path   |
      | <path> |

    Examples:
      | field                        | value           | path                         |
      | routes[0].backend            | "gone"          | routes[0].backend            |
      | routes[1].split[1].backend   | "gone"          | routes[1].split[1].backend   |
      | routes[1].path_prefix        | "/talk/"        | routes[1]                    |
      | routes[1].split[0].weight    | 0               | routes[1].split              |
      | routes[0].timeout_ms         | 0               | routes[0].timeout_ms         |
      | routes[0].timeout_ms         | "soon"          | routes[0].timeout_ms         |
      | generation                   | null            | generation                   |
      | services                     | absent          | services                     |

  Scenario: Several errors are reported together
    Given a valid configuration
    And its field "routes[0].timeout_ms" is 0
    And its field "routes[1].split[1].backend" is "gone"
    And its field "services[0].max_conns" is "many"
    When it is parsed
    Then it is rejected with errors at exactly
      | path                       |
      | routes[0].timeout_ms       |
      | routes[1].split[1].backend |
      | services[0].max_conns      |

  Scenario: A truncated body is rejected
    Given a valid configuration
    When it is parsed without its last byte
    Then it is rejected

  Scenario Outline: A request is routed by its host and longest matching path prefix
    Given a valid configuration
    When it is parsed
    Then a request to "<host>" for "<path>" is routed to "<route>"

    Examples:
      | host             | path             | route |
      | one.example      | /talk/1          | talk  |
      | ONE.example:8080 | /look/1?a=/talk/ | look  |
      | one.example      | /other/          | none  |
      | two.example      | /talk/           | none  |
