Feature: Settings are read over the commented defaults and checked on load

  Scenario: A settings file holds only what differs from the defaults
    When these entry settings are read
      """
      entry:
        name: entry-1
        data_centre: san-jose
        peers: {advertised_address: "tcp://10.0.0.7:7400"}
      """
    Then the settings say
      | setting                | value               |
      | callers.port           | 8080                |
      | peers.address          | tcp://10.0.0.7:7400 |
      | peers.listen_address   | tcp://127.0.0.1:7400 |
      | heartbeat_s            | 0.5                 |

  Scenario: All mistakes of a settings file are told at once
    When these agent settings are read
      """
      agent:
        name: agent-1
        data_centre: san-jose
        service: narrative
        peers: {host: engine-one, port: 70000, advertised_address: "10.0.0.7:7400"}
        upstream: {name: engine-1, kind: model, base_url: "ftp://a"}
        slots: 5
        pull_ttl_s: 0
        status: 7401
        platform: {log_url: "http://["}
      daemon: {}
      """
    Then the mistakes are
      | line | field                          | found              | allowed              |
      | 2    | agent.label                    | nothing            | a name               |
      | 5    | agent.peers.host               | 'engine-one'       | an IP number         |
      | 5    | agent.peers.port               | '70000'            | from 0 to 65,535     |
      | 5    | agent.peers.advertised_address | '10.0.0.7:7400'    | tcp://               |
      | 6    | agent.upstream.base_url        | 'ftp://a'          | http                 |
      | 7    | agent.slots                    | an unknown field   | slots_max            |
      | 8    | agent.pull_ttl_s               | '0'                | above 0              |
      | 9    | agent.status                   | '7401'             | a mapping            |
      | 10   | agent.platform.log_url         | 'http://['         | http             |
      | 11   | daemon                         | an unknown section | entry, agent         |

  Scenario: What has no default is asked for in the writer's own file
    When these agent settings are read
      """
      agent:
        name: agent-1
        data_centre: san-jose
        service: narrative
        label: narrative-a
      """
    Then the mistakes are
      | line | field                   | found   | allowed      |
      | 2    | agent.upstream.name     | nothing | a name       |
      | 2    | agent.upstream.base_url | nothing | http         |
      | 2    | agent.upstream.kind     | nothing | model, plain |

  Scenario: A settings file that can't be read is one line for its reader
    Then loading entry settings from "features/no-such-file.yaml" is a user error

  Scenario: Fields that contain themselves are mistakes, not an endless read
    When these entry settings are read
      """
      entry: &entry
        name: entry-1
        data_centre: san-jose
        peers: *entry
        other: *entry
      """
    Then the mistakes are
      | line | field                   | found            | allowed       |
      | 2    | entry.peers.name        | an unknown field | host          |
      | 3    | entry.peers.data_centre | an unknown field | host          |
      | 4    | entry.peers.peers       | an unknown field | host          |
      | 5    | entry.peers.other       | an unknown field | host          |
      | 5    | entry.other             | an unknown field | data_centre   |

  Scenario: Heartbeats must come faster than a peer is taken as gone
    When these entry settings are read
      """
      entry:
        name: entry-1
        data_centre: san-jose
        heartbeat_s: 5
      """
    Then the mistakes are
      | line | field           | found | allowed                                    |
      | 2    | entry.silence_s | '3.0' | at least 2 times heartbeat_s, which is 5.0 |
