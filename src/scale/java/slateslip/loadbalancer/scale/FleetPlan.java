package slateslip.loadbalancer.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What an experiment on a fleet plays: something before the events, the events, something after
 * them.
 *
 * @param name for the output
 * @param scale which part of the real thing it stands for, in words
 * @param events what happens, one after the other
 * @param hollow how many hollow agents
 * @param real how many real agents
 * @param servers how many entries discovery lists
 * @param zones over how many zones they are spread
 * @param mode who decides when discovery is asked
 * @param perSecond requests of a hollow agent a second
 * @param realPerSecond requests of a real agent a second
 * @param responseMicros median time of a server's answer
 * @param responseSigma spread of its logarithm
 * @param spreadMs over what time hollow agents start
 * @param beforeSeconds from when all have the list until the first event
 * @param eventSeconds how long each event lasts
 * @param afterSeconds what follows them
 * @param changeMs between two changes of single entries; 0 for none
 * @param versions how many versions of the settings the burst has
 * @param seed for everything random
 */
record FleetPlan(
    String name,
    String scale,
    List<Event> events,
    int hollow,
    int real,
    int servers,
    int zones,
    Mode mode,
    double perSecond,
    double realPerSecond,
    int responseMicros,
    double responseSigma,
    int spreadMs,
    int beforeSeconds,
    int eventSeconds,
    int afterSeconds,
    int changeMs,
    int versions,
    int seed) {
  /** What happens in the middle. */
  enum Event {
    /**
     * Many changes: programs run until they are compiled, and what follows is measured without
     * that.
     */
    WARM,
    /** Nothing: watches are renewed. */
    IDLE,
    /** Nothing but changes of single entries. */
    STEADY,
    /**
     * Discovery has changes no more that lead from the versions that agents have: all get the whole
     * list.
     */
    FULL,
    /** A zone's servers are gone with one change, and come back as just started with another. */
    ZONE,
    /** A burst of versions of the settings. */
    SETTINGS,
    /** Discovery resets all connections and refuses new ones, and comes back. */
    DOWN,
    /** Discovery is unresponsive, then resets all connections and answers again. */
    UNRESPONSIVE,
    /** Discovery's process is killed, and another goes on with the same list. */
    KILL
  }

  /** Who decides when discovery is asked. */
  enum Mode {
    /** Agents follow it of themselves. */
    AUTOMATIC,
    /** The module says when. */
    SUBSCRIBE,
    /** The module says when at every other agent. */
    ALTERNATING;

    /** What the settings of one agent say. */
    String of(int agent) {
      Mode own = this != ALTERNATING ? this : agent % 2 == 0 ? AUTOMATIC : SUBSCRIBE;
      return word(own);
    }
  }

  private static final int MAX_AGENTS = 8_000;
  private static final int MAX_REAL = 40;
  private static final int MAX_SERVERS = 20_000;
  private static final int MAX_ZONES = 99;
  private static final int MAX_SECONDS = 600;
  private static final int MAX_MILLIS = 600_000;
  private static final int MAX_RATE = 1_000;

  /** How many agents there are. */
  int agents() {
    return hollow + real;
  }

  /** Reads a plan; what its file leaves out has the values named here. */
  static FleetPlan of(Keys keys) {
    FleetPlan plan =
        new FleetPlan(
            keys.text("name", null),
            keys.text("scale", ""),
            events(keys),
            keys.full("hollow", 2_000, 0, MAX_AGENTS),
            keys.full("real", 8, 0, MAX_REAL),
            keys.full("servers", 160, 1, MAX_SERVERS),
            keys.full("zones", 23, 1, MAX_ZONES),
            Mode.valueOf(upper(keys.word("discovery", word(Mode.AUTOMATIC), words(Mode.values())))),
            keys.number("per-s", 1, 0, MAX_RATE),
            keys.number("real-per-s", 49, 0, MAX_RATE),
            keys.full("answer-us", 3_000, 1, MAX_MILLIS),
            keys.number("answer-sigma", 0.5, 0, 3),
            keys.full("spread-ms", 5_000, 0, MAX_MILLIS),
            keys.full("before-s", 5, 0, MAX_SECONDS),
            keys.full("event-s", 10, 0, MAX_SECONDS),
            keys.full("after-s", 10, 0, MAX_SECONDS),
            keys.full("change-ms", 1_000, 0, MAX_MILLIS),
            keys.full("versions", 100, 1, 1_000),
            keys.full("seed", 1, 0, Integer.MAX_VALUE));
    if (plan.agents() == 0) {
      throw keys.bad("hollow", "and real are both 0: there is no agent");
    }
    if (plan.servers < plan.zones) {
      throw keys.bad("servers", "is less than zones: " + plan.servers);
    }
    return plan;
  }

  private static List<Event> events(Keys keys) {
    List<Event> events = new ArrayList<>();
    for (String each : keys.text("events", null).split(" +", 0)) {
      if (!words(Event.values()).contains(each)) {
        throw keys.bad("events", "knows " + words(Event.values()) + " only: " + each);
      }
      events.add(Event.valueOf(upper(each)));
    }
    return List.copyOf(events);
  }

  private static Set<String> words(Enum<?>[] values) {
    return Arrays.stream(values)
        .map(FleetPlan::word)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static String word(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static String upper(String word) {
    return word.toUpperCase(Locale.ROOT);
  }
}
