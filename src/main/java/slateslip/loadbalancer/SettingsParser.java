package slateslip.loadbalancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.LoadBalancer.LoadField;
import slateslip.loadbalancer.LoadBalancer.Scope;
import slateslip.loadbalancer.LoadBalancer.Semantics;

/** Parses settings in the form path=value; unknown paths are ignored. */
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

  private final Map<String, String> valuesByPath;

  private SettingsParser(Map<String, String> valuesByPath) {
    this.valuesByPath = valuesByPath;
  }

  /**
   * Parses settings in text form.
   *
   * @param text one path=value pair in each line
   * @return the settings
   * @throws IllegalArgumentException if a value is missing or invalid; the message contains the
   *     path
   */
  public static LoadBalancer.Settings parse(String text) {
    Map<String, String> valuesByPath = new HashMap<>();
    for (String line : text.split("\n", -1)) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        valuesByPath.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
      }
    }
    return parse(valuesByPath);
  }

  /**
   * Parses settings given as a map.
   *
   * @param valuesByPath the values by path
   * @return the settings
   * @throws IllegalArgumentException if a value is missing or invalid; the message contains the
   *     path
   */
  public static LoadBalancer.Settings parse(Map<String, String> valuesByPath) {
    return new SettingsParser(valuesByPath).settings();
  }

  private LoadBalancer.Settings settings() {
    var permits =
        new LoadBalancer.Permits(
            (int) requireAtLeast(1, "caps.max-attempts"),
            requireBoolean("caps.may-duplicate"),
            requireBoolean("caps.cancel"),
            requireBoolean("caps.probes"),
            requireBoolean("caps.peers"),
            requireBoolean("caps.retry-after") ? integer("caps.max-retry-after-us") : 0);
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
    if (!stringOr("load-info.via", "none").equals("none")) {
      for (String name : list("load-info.fields")) {
        fields.add(LOAD_FIELDS.get(name)); // null for a field without a constant in LoadField
      }
    }
    return new LoadBalancer.Settings(
        (int) requireAtLeast(0, "me"),
        (int) requireAtLeast(1, "group-size"),
        (int) requireAtLeast(0, "locality"),
        zones(),
        requireAtLeast(1, "granularity-us"),
        require("discovery").equals("subscribe"),
        stringOr("family-info.warm-keys", "false").equals("true"),
        !stringOr("weight-source", "none").equals("none"),
        stringOr("worth-by", "request").equals("work"),
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
      throw invalidValue("locality");
    }
    return zones;
  }

  private List<LoadBalancer.RequestClass> classes() {
    List<LoadBalancer.RequestClass> classes = new ArrayList<>();
    long count = requireAtLeast(0, "classes.count");
    for (int i = 0; i < count; i++) {
      String prefix = "classes." + i + ".";
      classes.add(
          new LoadBalancer.RequestClass(
              requireAtLeast(1, prefix + "aim-us"),
              number(prefix + "aim-stretch", 0),
              requireAtLeast(1, prefix + "give-up-us"),
              semantics(prefix + "semantics"),
              scope(stringOr(prefix + "key-scope", "all"), prefix + "key-scope"),
              window(prefix + "window-us"),
              number(prefix + "worth", 1),
              number(prefix + "late-share", 0),
              stringOr(prefix + "stream", "false").equals("true")));
    }
    return List.copyOf(classes);
  }

  /**
   * Returns the part of a class's deduplication window in which a retry may be started, in
   * microseconds: the window without the dial timeout, because a new connection may delay the retry
   * by that time. Otherwise a retry could arrive after a short window and run a second time.
   */
  private long window(String key) {
    long dial = has("caps.dial-timeout-us") ? integer("caps.dial-timeout-us") : 0;
    return has(key) ? Math.max(0, integer(key) - dial) : 0;
  }

  private List<LoadBalancer.Tenant> tenants() {
    List<LoadBalancer.Tenant> tenants = new ArrayList<>();
    long count = has("realms.count") ? integer("realms.count") : 0;
    for (int i = 0; i < count; i++) {
      String prefix = "realms." + i + ".";
      tenants.add(
          new LoadBalancer.Tenant(
              number(prefix + "quota-per-s", 0), number(prefix + "fraction", 0)));
    }
    return List.copyOf(tenants);
  }

  private Semantics semantics(String key) {
    return switch (require(key)) {
      case "safe" -> Semantics.SAFE;
      case "keyed" -> Semantics.KEYED;
      case "unsafe" -> Semantics.UNSAFE;
      default -> throw invalidValue(key);
    };
  }

  private Scope scope(String word, String key) {
    return switch (word) {
      case "all" -> Scope.ALL;
      case "zone" -> Scope.ZONE;
      case "cell" -> Scope.CELL;
      default -> throw invalidValue(key);
    };
  }

  private boolean has(String key) {
    return valuesByPath.containsKey(key);
  }

  private String require(String key) {
    String value = valuesByPath.get(key);
    if (value == null) {
      throw new IllegalArgumentException("settings: " + key + " is missing");
    }
    return value;
  }

  private String stringOr(String key, String defaultValue) {
    return valuesByPath.getOrDefault(key, defaultValue);
  }

  private List<String> list(String key) {
    String value = stringOr(key, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }

  private boolean requireBoolean(String key) {
    return switch (require(key)) {
      case "true" -> true;
      case "false" -> false;
      default -> throw invalidValue(key);
    };
  }

  private long integer(String key) {
    return Math.round(number(key));
  }

  private long requireAtLeast(long minimum, String key) {
    long value = integer(key);
    if (value < minimum) {
      throw invalidValue(key);
    }
    return value;
  }

  private double number(String key, double defaultValue) {
    return has(key) ? number(key) : defaultValue;
  }

  private double number(String key) {
    try {
      double value = Double.parseDouble(require(key));
      if (!Double.isFinite(value)) {
        throw invalidValue(key);
      }
      return value;
    } catch (NumberFormatException e) {
      throw invalidValue(key);
    }
  }

  private IllegalArgumentException invalidValue(String key) {
    return new IllegalArgumentException(
        "settings: " + key + " has an unusable value: " + valuesByPath.get(key));
  }
}
