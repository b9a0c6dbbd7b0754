Feature: The operator's configuration is accepted whole or refused with every fault named

  Scenario: A whole configuration is accepted and read back as it was sent
    Given a valid configuration
    And its field "routes[0].note" is "kept, though nobody knows it"
    When it is read
    Then it is accepted
    And it reads back exactly as it was sent

  Scenario: Fields that may be absent have defaults
    Given a valid configuration
    And its field "limits" is absent
    And its field "routes[0].timeout_ms" is absent
    When it is read
    Then it is accepted

  Scenario Outline: A single fault is refused and named with its place
    Given a valid configuration
    And its field "<field>" is <value>
    When it is read
    Then it is refused with faults at exactly
      | place   |
      | <place> |

    Examples:
      | field                        | value           | place                        |
      | routes[0].backend            | "gone"          | routes[0].backend            |
      | routes[1].split[1].backend   | "gone"          | routes[1].split[1].backend   |
      | routes[1].path_prefix        | "/talk/"        | routes[1]                    |
      | routes[1].split[0].weight    | 0               | routes[1].split              |
      | routes[0].timeout_ms         | 0               | routes[0].timeout_ms         |
      | routes[0].timeout_ms         | "soon"          | routes[0].timeout_ms         |
      | generation                   | null            | generation                   |
      | services                     | absent          | services                     |

  Scenario: Several faults are refused together
    Given a valid configuration
    And its field "routes[0].timeout_ms" is 0
    And its field "routes[1].split[1].backend" is "gone"
    And its field "services[0].max_conns" is "many"
    When it is read
    Then it is refused with faults at exactly
      | place                      |
      | routes[0].timeout_ms       |
      | routes[1].split[1].backend |
      | services[0].max_conns      |

  Scenario: A body that is cut short is refused
    Given a valid configuration
    When all but its last byte is read
    Then it is refused

  Scenario Outline: The longest prefix of the host takes the request
    Given a valid configuration
    When it is read
    Then a request to "<host>" for "<path>" takes the route "<route>"

    Examples:
      | host             | path             | route |
      | one.example      | /talk/1          | talk  |
      | ONE.example:8080 | /look/1?a=/talk/ | look  |
      | one.example      | /other/          | none  |
      | two.example      | /talk/           | none  |
