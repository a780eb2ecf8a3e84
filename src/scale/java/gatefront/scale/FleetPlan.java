package gatefront.scale;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What an experiment on a fleet plays: something before an event, the event, something after it.
 *
 * @param name for the output
 * @param scale which part of the real thing it stands for, in words
 * @param event what happens
 * @param hollow how many hollow agents
 * @param real how many real agents
 * @param servers how many entries discovery lists
 * @param zones over how many zones they are spread
 * @param asked whether the module decides when discovery is asked; else agents follow it of themselves
 * @param perSecond requests of a hollow agent a second
 * @param realPerSecond requests of a real agent a second
 * @param answerMicros median time of a server's answer
 * @param answerSigma spread of its logarithm
 * @param spreadMs over what time hollow agents start
 * @param beforeSeconds from when all have the list until the event
 * @param eventSeconds how long the event lasts
 * @param afterSeconds what follows it
 * @param changeMs between two changes of single entries; 0 for none
 * @param versions how many versions of the settings the burst has
 * @param seed for everything random
 */
record FleetPlan(String name, String scale, Event event, int hollow, int real, int servers, int zones, boolean asked,
                 double perSecond, double realPerSecond, int answerMicros, double answerSigma, int spreadMs,
                 int beforeSeconds, int eventSeconds, int afterSeconds, int changeMs, int versions, int seed) {
    /** What happens in the middle. */
    enum Event {
        /** Nothing but changes of single entries. */
        STEADY,
        /** A zone's servers are gone with one change, and come back as just started with another. */
        ZONE,
        /** A burst of versions of the settings. */
        SETTINGS,
        /** Discovery resets all connections and refuses new ones, and comes back. */
        DOWN,
        /** Discovery is silent, then resets all connections and answers again. */
        SILENT,
        /** Discovery's process is killed, and another goes on with the same list. */
        KILL
    }

    private static final String AUTOMATIC = "automatic";
    private static final String SUBSCRIBE = "subscribe";
    private static final int AGENTS_MOST = 8_000;
    private static final int REAL_MOST = 40;
    private static final int SERVERS_MOST = 20_000;
    private static final int ZONES_MOST = 99;
    private static final int SECONDS_MOST = 600;
    private static final int MILLIS_MOST = 600_000;
    private static final int RATE_MOST = 1_000;

    /** How many agents there are. */
    int agents() {
        return hollow + real;
    }

    /** Reads a plan; what its file leaves out has the values named here. */
    static FleetPlan of(Keys keys) {
        Set<String> events = Arrays.stream(Event.values()).map(FleetPlan::word).collect(Collectors.toSet());
        String event = keys.word("event", null, events);
        FleetPlan plan = new FleetPlan(keys.text("name", null), keys.text("scale", ""),
            Event.valueOf(event.toUpperCase(Locale.ROOT)),
            keys.whole("hollow", 2_000, 0, AGENTS_MOST), keys.whole("real", 8, 0, REAL_MOST),
            keys.whole("servers", 160, 1, SERVERS_MOST), keys.whole("zones", 23, 1, ZONES_MOST),
            keys.word("discovery", AUTOMATIC, Set.of(AUTOMATIC, SUBSCRIBE)).equals(SUBSCRIBE),
            keys.number("per-s", 1, 0, RATE_MOST), keys.number("real-per-s", 49, 0, RATE_MOST),
            keys.whole("answer-us", 3_000, 1, MILLIS_MOST), keys.number("answer-sigma", 0.5, 0, 3),
            keys.whole("spread-ms", 5_000, 0, MILLIS_MOST), keys.whole("before-s", 5, 0, SECONDS_MOST),
            keys.whole("event-s", 10, 0, SECONDS_MOST), keys.whole("after-s", 10, 0, SECONDS_MOST),
            keys.whole("change-ms", 1_000, 0, MILLIS_MOST), keys.whole("versions", 100, 1, 1_000),
            keys.whole("seed", 1, 0, Integer.MAX_VALUE));
        if (plan.agents() == 0) {
            throw keys.bad("hollow", "and real are both 0: there is no agent");
        }
        if (plan.servers < plan.zones) {
            throw keys.bad("servers", "is less than zones: " + plan.servers);
        }
        return plan;
    }

    private static String word(Event event) {
        return event.name().toLowerCase(Locale.ROOT);
    }
}
