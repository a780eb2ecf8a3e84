package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;

/**
 * What the agents of an experiment have in common, in the form of the agent's configuration file.
 */
final class FleetConfig {
  /** The one kind of machine. */
  static final String KIND = "small";

  /** How long clients wait, as the classes below say. */
  static final long GIVE_UP_MS = 8_000;

  /** After this, a server that was told to drain gets nothing more. */
  static final long GRACE_MS = 500;

  /** How often a real agent looks at its file without a signal, in case one was lost. */
  private static final int CHECK_MS = 500;

  private static final double VALUE_STEPS = 1_000;

  private static final String COMMON =
      """
        {"name": "agent", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
         "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
         "known": {"index": 0, "snapshot": true, "endpoints": []},
         "settings": {
          "caps": {"cancel": true, "dial-timeout-us": 200000, "idle-close-us": 60000000, "max-attempts": 6,
                   "may-duplicate": false, "peers": false, "probes": true, "retry-after": true,
                   "max-retry-after-us": 1000000},
          "classes": [
           {"name": "lookup", "semantics": "safe", "aim-us": 3000000, "give-up-us": 8000000, "worth": 1.0},
           {"name": "pay", "semantics": "keyed", "key-scope": "all", "window-us": 8000000, "aim-us": 3000000,
            "give-up-us": 8000000, "worth": 4.0},
           {"name": "order", "semantics": "unsafe", "aim-us": 3000000, "give-up-us": 8000000, "worth": 4.0}],
          "deductions": {"cross-zone": 0.03, "late-fail": 0.05, "probe": 0.01, "waste": 0.05},
          "granularity-us": 5000, "group-size": 1, "me": 0, "locality": 0, "realms": [],
          "load-info": {"fields": ["depth", "concurrent"], "via": "answers"},
          "obligations": {"answer-slack-us": 20000, "ask-within-us": 10000000, "cold-from": 0.2,
                          "cold-us": 20000000, "fall-multiple": 3.0, "overload-for-us": 3000000,
                          "stop-sending-within-us": 500000}}}""";

  private FleetConfig() {}

  /** A zone's name by its number from 0. */
  static String zone(int number) {
    return "z" + number;
  }

  /**
   * The configuration.
   *
   * @param discovery where the list comes from
   * @param zones how many there are
   * @param agents how many share the servers
   */
  static ObjectNode common(InetSocketAddress discovery, int zones, int agents) {
    ObjectNode config = (ObjectNode) Json.read(COMMON);
    config.put("discovery", Addresses.text(discovery));
    ObjectNode settings = (ObjectNode) config.get("settings");
    settings.put("group-size", agents);
    settings.putArray("kinds").add(KIND);
    ArrayNode names = settings.putArray("zones");
    for (int i = 0; i < zones; i++) {
      names.add(zone(i));
    }
    version(config, 0);
    return config;
  }

  /**
   * Gives a configuration another version of its settings, which differ from the others in what a
   * class is worth.
   *
   * @param version grows with each
   */
  static void version(ObjectNode config, long version) {
    config.putObject("live_settings").put("version", version).put("check_ms", CHECK_MS);
    ((ObjectNode) config.at("/settings/classes/0")).put("worth", 1 + version / VALUE_STEPS);
  }

  /**
   * What one agent has of its own.
   *
   * @param settings of its configuration
   */
  static void own(ObjectNode settings, int agent, FleetPlan.Mode mode) {
    settings
        .put("me", agent)
        .put("locality", agent % settings.get("zones").size())
        .put("discovery", mode.of(agent));
  }
}
