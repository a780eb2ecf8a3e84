package slateslip.loadbalancer.net;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.SettingsReload;

/**
 * Decides which settings may replace those in force while the agent runs, and logs the decisions. A
 * higher version is applied completely or not at all. The same version is already in force. A lower
 * version is refused: to roll back, operators give the old content a new version. Confined to the
 * agent's event loop.
 */
public final class LiveSettings {
  private int appliedCount;
  private int rejectedCount;

  /**
   * The log line of the last file if that file was refused, so that an unchanged file is logged
   * only once; otherwise null.
   */
  private String lastRefusal;

  /**
   * Returns whether the configuration that was read is to be applied. Logs the reason if the
   * configuration is refused.
   */
  boolean shouldApply(AgentConfig inForce, ConfigFileWatcher.ReadResult result) {
    long version = inForce.live().version();
    AgentConfig next = result.config();
    if (next == null) {
      refuse(inForce, result, result.unusable().replaceFirst("^(config|settings): ", ""));
    } else if (next.live() == null) {
      refuse(inForce, result, "live_settings is missing");
    } else if (result.version() < version) {
      refuse(
          inForce,
          result,
          "live_settings.version is lower; to go back, give the old content a new one");
    } else if (result.version() == version && !next.sameSettings(inForce)) {
      refuse(inForce, result, "live_settings.version is the same, but the content is another");
    } else {
      lastRefusal = null;
      return result.version() > version;
    }
    return false;
  }

  /**
   * Logs that the configuration that was read is refused, and why; the reason begins with the key
   * at fault.
   */
  void refuse(AgentConfig inForce, ConfigFileWatcher.ReadResult result, String reason) {
    String version = result.version() < 0 ? "" : "version " + result.version() + " ";
    String line =
        "settings: " + version + "refused: " + reason + "; " + inForce.live().version() + " stays";
    if (result.requested() || !line.equals(lastRefusal)) {
      rejectedCount++;
      Agent.logLine(line);
    }
    lastRefusal = line;
  }

  /** Logs that the configuration that was read is in force. */
  void logApplied(AgentConfig before, ConfigFileWatcher.ReadResult result, long micros) {
    appliedCount++;
    AgentConfig now = result.config();
    String read = result.micros() / 1000 + "." + result.micros() / 100 % 10;
    Agent.logLine(
        versionLine(now)
            + ", was "
            + before.live().version()
            + sizeSummary(now)
            + "; read "
            + read
            + " ms, taken over in "
            + micros
            + " us");
  }

  /** Returns the log line for the settings at the start. */
  static String startLine(AgentConfig config) {
    return versionLine(config) + " from the start" + sizeSummary(config);
  }

  private static String versionLine(AgentConfig config) {
    return "settings: version " + config.live().version() + " in force";
  }

  private static String sizeSummary(AgentConfig config) {
    return " (classes "
        + config.classes().size()
        + ", tenants "
        + config.tenants().size()
        + ", zones "
        + config.zones().size()
        + ", kinds "
        + config.kinds().size()
        + ")";
  }

  /** Returns the part of the "tally:" line that describes the settings. */
  String summary(AgentConfig config) {
    return "settings "
        + config.live().version()
        + " (taken "
        + appliedCount
        + ", refused "
        + rejectedCount
        + ")";
  }

  /**
   * Validates the next settings and determines how indexes of the settings in force map to them.
   *
   * @param before the configuration in force
   * @param next the configuration to apply
   * @param inUse whether the server list has a server in the zone of the given name
   * @return the change for the load balancer
   * @throws IllegalArgumentException if the settings are unusable, or change a key that cannot
   *     change while the agent runs; the message is one line that begins with the key
   */
  public static SettingsReload reload(
      AgentConfig before, AgentConfig next, Predicate<String> inUse) {
    checkNames("classes", next.classes(), next.settings().classes().size());
    checkNames("realms", next.tenants(), next.settings().tenants().size());
    checkNames("zones", next.zones(), next.settings().zones());
    checkNames("kinds", next.kinds(), next.kinds().size());
    check(!next.classes().isEmpty(), "classes is empty");
    checkRanges(next.settings());
    String fixed = " cannot change while the agent runs";
    check(next.listen().equals(before.listen()), "listen" + fixed);
    check(next.settings().agent() == before.settings().agent(), "me" + fixed);
    check(ownZone(next).equals(ownZone(before)), "locality" + fixed);
    for (String zone : before.zones()) {
      check(
          next.zones().contains(zone) || !inUse.test(zone),
          "zones lacks " + zone + ", which has servers");
    }
    return new SettingsReload(
        next.settings(),
        SettingsReload.positions(before.classes(), next.classes()),
        SettingsReload.positions(before.zones(), next.zones()),
        SettingsReload.positions(before.kinds(), next.kinds()));
  }

  private static String ownZone(AgentConfig config) {
    return config.zones().get(config.settings().zone());
  }

  /**
   * Checks that a list has one distinct, non-empty name per entry. With a duplicate name, requests
   * or servers would be matched to the first entry of that name.
   */
  private static void checkNames(String key, List<String> names, int size) {
    check(names.size() == size, key + " is not a list of length " + size);
    Set<String> seen = new HashSet<>();
    for (String name : names) {
      check(!name.isBlank(), key + " has an entry without a name");
      check(seen.add(name), key + " has " + name + " twice");
    }
  }

  /**
   * Checks ranges that the parser does not check. At the start a wrong value would be noticed at
   * once; in a running agent it would be noticed only by its damage.
   */
  private static void checkRanges(LoadBalancer.Settings settings) {
    check(settings.agent() < settings.agents(), "me is not less than group-size");
    for (int i = 0; i < settings.classes().size(); i++) {
      LoadBalancer.RequestClass type = settings.classes().get(i);
      String prefix = "classes." + i + ".";
      requireNonNegative(prefix + "worth", type.value());
      requireNonNegative(prefix + "aim-stretch", type.latencyTargetPerCost());
      requireFraction(prefix + "late-share", type.lateValueFraction());
    }
    for (int i = 0; i < settings.tenants().size(); i++) {
      requireNonNegative(
          "realms." + i + ".quota-per-s", settings.tenants().get(i).quotaPerSecond());
      requireFraction("realms." + i + ".fraction", settings.tenants().get(i).fraction());
    }
    requireNonNegative("caps.max-retry-after-us", (double) settings.permits().maxRetryAfter());
    requireNonNegative(
        "obligations.answer-slack-us", (double) settings.obligations().responseSlack());
    requireNonNegative(
        "obligations.stop-sending-within-us", (double) settings.obligations().drainGrace());
    requireNonNegative(
        "obligations.ask-within-us", (double) settings.obligations().discoveryWithin());
    requireNonNegative("obligations.fall-multiple", settings.obligations().overloadMultiple());
    requireFraction("obligations.cold-from", settings.obligations().warmupStartFraction());
    requireNonNegative("deductions.cross-zone", settings.prices().crossZone());
    requireNonNegative("deductions.probe", settings.prices().probe());
    requireNonNegative("deductions.waste", settings.prices().waste());
    requireNonNegative("deductions.late-fail", settings.prices().lateFailure());
    requireNonNegative("deductions.peer", settings.prices().message());
    requireNonNegative("objective-mix.whole", settings.goal().overall());
    requireNonNegative("objective-mix.worst-window", settings.goal().worstWindow());
    requireNonNegative("objective-mix.worst-class", settings.goal().worstClass());
    requireNonNegative("objective-mix.worst-tenant", settings.goal().worstTenant());
    requireNonNegative("over-share-worth", settings.overQuotaValue());
  }

  private static void requireNonNegative(String key, double value) {
    check(value >= 0, key + " has an unusable value: " + value);
  }

  private static void requireFraction(String key, double value) {
    check(value >= 0 && value <= 1, key + " has an unusable value: " + value);
  }

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
