package slateslip.loadbalancer.net;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.SettingsReload;

/**
 * Which settings may follow those in force while the agent runs, and what is told of them. A
 * greater version is taken whole or not at all; the same one is there already; a lower one is
 * refused: to go back, the old content gets a new version. All of it runs on the agent's event
 * loop.
 */
public final class LiveSettings {
  private int appliedCount;
  private int rejectedCount;

  /** The line of the last file, if that was refused: one that does not change is told of once. */
  private String last;

  /** Whether what was read is to be taken over; if it is refused, that is told. */
  boolean shouldApply(AgentConfig inForce, ConfigFileWatcher.ReadResult found) {
    long version = inForce.live().version();
    AgentConfig next = found.config();
    if (next == null) {
      refuse(inForce, found, found.unusable().replaceFirst("^(config|settings): ", ""));
    } else if (next.live() == null) {
      refuse(inForce, found, "live_settings is missing");
    } else if (found.version() < version) {
      refuse(
          inForce,
          found,
          "live_settings.version is lower; to go back, give the old content a new one");
    } else if (found.version() == version && !next.sameSettings(inForce)) {
      refuse(inForce, found, "live_settings.version is the same, but the content is another");
    } else {
      last = null;
      return found.version() > version;
    }
    return false;
  }

  /** Tells that what was read is not taken over, and why: the key at fault first. */
  void refuse(AgentConfig inForce, ConfigFileWatcher.ReadResult found, String why) {
    String version = found.version() < 0 ? "" : "version " + found.version() + " ";
    String line =
        "settings: " + version + "refused: " + why + "; " + inForce.live().version() + " stays";
    if (found.requested() || !line.equals(last)) {
      rejectedCount++;
      Agent.say(line);
    }
    last = line;
  }

  /** Tells that what was read is in force. */
  void applied(AgentConfig before, ConfigFileWatcher.ReadResult found, long micros) {
    appliedCount++;
    AgentConfig now = found.config();
    String read = found.micros() / 1000 + "." + found.micros() / 100 % 10;
    Agent.say(
        inForce(now)
            + ", was "
            + before.live().version()
            + sizes(now)
            + "; read "
            + read
            + " ms, taken over in "
            + micros
            + " us");
  }

  /** The line of the start. */
  static String started(AgentConfig config) {
    return inForce(config) + " from the start" + sizes(config);
  }

  private static String inForce(AgentConfig config) {
    return "settings: version " + config.live().version() + " in force";
  }

  private static String sizes(AgentConfig config) {
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

  /** What the tally tells of the settings. */
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
   * How the settings in force become the next ones.
   *
   * @param before in force
   * @param next to be in force
   * @param inUse whether a server of the zone of this name is listed
   * @return what the module is told
   * @throws IllegalArgumentException if they are unusable, or cannot follow under way; the message
   *     is one plain line that begins with the key
   */
  public static SettingsReload reload(
      AgentConfig before, AgentConfig next, Predicate<String> inUse) {
    named("classes", next.classes(), next.settings().classes().size());
    named("realms", next.tenants(), next.settings().tenants().size());
    named("zones", next.zones(), next.settings().zones());
    named("kinds", next.kinds(), next.kinds().size());
    check(!next.classes().isEmpty(), "classes is empty");
    inRange(next.settings());
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
   * Guards against two things under one name, of which requests or servers would mean the first.
   */
  private static void named(String key, List<String> names, int size) {
    check(names.size() == size, key + " is not a list of " + size);
    Set<String> met = new HashSet<>();
    for (String name : names) {
      check(!name.isBlank(), key + " has one without a name");
      check(met.add(name), key + " has " + name + " twice");
    }
  }

  /**
   * What the reading leaves open: at the start it would be noticed at once, under way only by its
   * harm.
   */
  private static void inRange(LoadBalancer.Settings settings) {
    check(settings.agent() < settings.agents(), "me is not less than group-size");
    for (int i = 0; i < settings.classes().size(); i++) {
      LoadBalancer.RequestClass type = settings.classes().get(i);
      String at = "classes." + i + ".";
      requireNonNegative(at + "worth", type.value());
      requireNonNegative(at + "aim-stretch", type.latencyTargetPerCost());
      share(at + "late-share", type.lateValueFraction());
    }
    for (int i = 0; i < settings.tenants().size(); i++) {
      requireNonNegative(
          "realms." + i + ".quota-per-s", settings.tenants().get(i).quotaPerSecond());
      share("realms." + i + ".fraction", settings.tenants().get(i).fraction());
    }
    requireNonNegative("caps.max-retry-after-us", (double) settings.permits().maxRetryAfter());
    requireNonNegative(
        "obligations.answer-slack-us", (double) settings.obligations().responseSlack());
    requireNonNegative(
        "obligations.stop-sending-within-us", (double) settings.obligations().drainGrace());
    requireNonNegative(
        "obligations.ask-within-us", (double) settings.obligations().discoveryWithin());
    requireNonNegative("obligations.fall-multiple", settings.obligations().overloadMultiple());
    share("obligations.cold-from", settings.obligations().warmupStartFraction());
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

  private static void share(String key, double value) {
    check(value >= 0 && value <= 1, key + " has an unusable value: " + value);
  }

  private static void check(boolean holds, String otherwise) {
    if (!holds) {
      throw new IllegalArgumentException(otherwise);
    }
  }
}
