package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.LoadBalancer.LoadField;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;

/** Turns path=value settings into the module's settings. Keys it does not know are skipped. */
public final class SettingsParser {
  private static final Map<String, LoadField> LOAD_FIELDS =
      Map.of(
          "concurrent",
          LoadField.IN_FLIGHT,
          "depth",
          LoadField.QUEUED,
          "load_share",
          LoadField.CPU_SHARE,
          "mean_ms",
          LoadField.MEAN_MILLIS,
          "tps",
          LoadField.SERVED_PER_SECOND,
          "err_ps",
          LoadField.ERRORS_PER_SECOND);

  private final Map<String, String> pairs;

  private SettingsParser(Map<String, String> pairs) {
    this.pairs = pairs;
  }

  /**
   * Reads the wire's settings text.
   *
   * @param text a path=value pair a line
   * @return the settings
   * @throws IllegalArgumentException if a value is missing or unusable; the message names it
   */
  public static LoadBalancer.Settings parse(String text) {
    Map<String, String> pairs = new HashMap<>();
    for (String line : text.split("\n", -1)) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        pairs.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
      }
    }
    return parse(pairs);
  }

  /**
   * Reads settings already taken apart.
   *
   * @param pairs values by their paths
   * @return the settings
   * @throws IllegalArgumentException if a value is missing or unusable; the message names it
   */
  public static LoadBalancer.Settings parse(Map<String, String> pairs) {
    return new SettingsParser(pairs).settings();
  }

  private LoadBalancer.Settings settings() {
    var permits =
        new LoadBalancer.Permits(
            (int) requireAtLeast(1, "caps.max-attempts"),
            flag("caps.may-duplicate"),
            flag("caps.cancel"),
            flag("caps.probes"),
            flag("caps.peers"),
            flag("caps.retry-after") ? integer("caps.max-retry-after-us") : 0);
    var obligations =
        new LoadBalancer.Obligations(
            integer("obligations.answer-slack-us"),
            integer("obligations.stop-sending-within-us"),
            number("obligations.cold-from"),
            requireAtLeast(1, "obligations.cold-us"),
            number("obligations.fall-multiple"),
            requireAtLeast(1, "obligations.overload-for-us"),
            has("obligations.ask-within-us") ? integer("obligations.ask-within-us") : 0);
    var prices =
        new LoadBalancer.Prices(
            number("deductions.cross-zone", 0),
            number("deductions.probe", 0),
            number("deductions.waste", 0),
            number("deductions.late-fail", 0),
            number("deductions.peer", 0));
    var goal =
        new LoadBalancer.Goal(
            number("objective-mix.whole", 1), number("objective-mix.worst-window", 0),
            number("objective-mix.worst-class", 0), number("objective-mix.worst-tenant", 0));
    List<LoadField> fields = new ArrayList<>();
    if (!word("load-info.via", "none").equals("none")) {
      for (String name : list("load-info.fields")) {
        fields.add(LOAD_FIELDS.get(name)); // null: a value without a name here
      }
    }
    return new LoadBalancer.Settings(
        (int) requireAtLeast(0, "me"),
        (int) requireAtLeast(1, "group-size"),
        (int) requireAtLeast(0, "locality"),
        zones(),
        requireAtLeast(1, "granularity-us"),
        need("discovery").equals("subscribe"),
        word("family-info.warm-keys", "false").equals("true"),
        !word("weight-source", "none").equals("none"),
        word("worth-by", "request").equals("work"),
        number("over-share-worth", 1),
        permits,
        obligations,
        prices,
        goal,
        classes(),
        tenants(),
        Collections.unmodifiableList(fields));
  }

  private int zones() {
    int zones = list("zones").size();
    if (zones <= requireAtLeast(0, "locality")) {
      throw bad("locality");
    }
    return zones;
  }

  private List<LoadBalancer.RequestClass> classes() {
    List<LoadBalancer.RequestClass> classes = new ArrayList<>();
    long count = requireAtLeast(0, "classes.count");
    for (int i = 0; i < count; i++) {
      String at = "classes." + i + ".";
      classes.add(
          new LoadBalancer.RequestClass(
              requireAtLeast(1, at + "aim-us"),
              number(at + "aim-stretch", 0),
              requireAtLeast(1, at + "give-up-us"),
              semantics(at + "semantics"),
              scope(word(at + "key-scope", "all"), at + "key-scope"),
              window(at + "window-us"),
              number(at + "worth", 1),
              number(at + "late-share", 0),
              word(at + "stream", "false").equals("true")));
    }
    return List.copyOf(classes);
  }

  /**
   * The part of a repeat's window in which it may be decided on: its connection may take time to
   * come up. Guards against an effect twice where a window is short beside that time.
   */
  private long window(String key) {
    long dial = has("caps.dial-timeout-us") ? integer("caps.dial-timeout-us") : 0;
    return has(key) ? Math.max(0, integer(key) - dial) : 0;
  }

  private List<LoadBalancer.Tenant> tenants() {
    List<LoadBalancer.Tenant> tenants = new ArrayList<>();
    long count = has("realms.count") ? integer("realms.count") : 0;
    for (int i = 0; i < count; i++) {
      String at = "realms." + i + ".";
      tenants.add(
          new LoadBalancer.Tenant(number(at + "quota-per-s", 0), number(at + "fraction", 0)));
    }
    return List.copyOf(tenants);
  }

  private Semantics semantics(String key) {
    return switch (need(key)) {
      case "safe" -> Semantics.SAFE;
      case "keyed" -> Semantics.KEYED;
      case "unsafe" -> Semantics.UNSAFE;
      default -> throw bad(key);
    };
  }

  private Scope scope(String word, String key) {
    return switch (word) {
      case "all" -> Scope.ALL;
      case "zone" -> Scope.ZONE;
      case "cell" -> Scope.CELL;
      default -> throw bad(key);
    };
  }

  private boolean has(String key) {
    return pairs.containsKey(key);
  }

  private String need(String key) {
    String value = pairs.get(key);
    if (value == null) {
      throw new IllegalArgumentException("settings: " + key + " is missing");
    }
    return value;
  }

  private String word(String key, String otherwise) {
    return pairs.getOrDefault(key, otherwise);
  }

  private List<String> list(String key) {
    String value = word(key, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }

  private boolean flag(String key) {
    return switch (need(key)) {
      case "true" -> true;
      case "false" -> false;
      default -> throw bad(key);
    };
  }

  private long integer(String key) {
    return Math.round(number(key));
  }

  private long requireAtLeast(long minimum, String key) {
    long value = integer(key);
    if (value < minimum) {
      throw bad(key);
    }
    return value;
  }

  private double number(String key, double otherwise) {
    return has(key) ? number(key) : otherwise;
  }

  private double number(String key) {
    try {
      double value = Double.parseDouble(need(key));
      if (!Double.isFinite(value)) {
        throw bad(key);
      }
      return value;
    } catch (NumberFormatException e) {
      throw bad(key);
    }
  }

  private IllegalArgumentException bad(String key) {
    return new IllegalArgumentException(
        "settings: " + key + " has an unusable value: " + pairs.get(key));
  }
}
