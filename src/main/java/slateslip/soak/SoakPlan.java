package slateslip.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import slateslip.soak.PlannedEvent.Kind;

/** Generates the planned events of a soak test from its seed, in series that overlap. */
final class SoakPlan {
  private static final List<Kind> KINDS = List.of(Kind.values());
  private static final List<Series> SERIES = List.of(Series.values());
  private static final int FIRST_MILLIS = 500;
  private static final int MAX_SERIES_GAP_MILLIS = 2_000;
  private static final int MAX_STEP_GAP_MILLIS = 900;
  private static final int MAX_STEPS = 5;

  /** Kinds of events that a series consists of. */
  private enum Series {
    STOPS,
    STOPS_WITH_RELOADS,
    CONFIGURATIONS,
    CONTROL_AGENTS,
    MIXED
  }

  private final SoakOptions options;
  private final SplittableRandom random;
  private final List<PlannedEvent> events = new ArrayList<>();

  private SoakPlan(SoakOptions options) {
    this.options = options;
    this.random = new SplittableRandom(options.seed());
  }

  /** Returns the planned events in the order of their times. */
  static List<PlannedEvent> draw(SoakOptions options) {
    SoakPlan plan = new SoakPlan(options);
    long endMillis = options.seconds() * 1_000L;
    long atMillis = FIRST_MILLIS;
    while (atMillis < endMillis) {
      plan.addSeries(atMillis, endMillis);
      atMillis += 1 + plan.random.nextInt(MAX_SERIES_GAP_MILLIS);
    }
    plan.events.sort(Comparator.comparingLong(PlannedEvent::atMillis));
    return List.copyOf(plan.events);
  }

  private void addSeries(long startMillis, long endMillis) {
    Series series = SERIES.get(random.nextInt(SERIES.size()));
    int steps = 1 + random.nextInt(MAX_STEPS);
    long atMillis = startMillis;
    for (int step = 0; step < steps && atMillis < endMillis; step++) {
      add(atMillis, kind(series));
      atMillis += random.nextInt(MAX_STEP_GAP_MILLIS);
    }
  }

  private Kind kind(Series series) {
    return switch (series) {
      case STOPS -> oneOf(Kind.STOP_DATA_PLANE, Kind.STOP_DATA_PLANE, Kind.STOP_DATA_PLANE_TWICE);
      case STOPS_WITH_RELOADS -> oneOf(Kind.STOP_DATA_PLANE, Kind.RELOAD_DATA_PLANE);
      case CONFIGURATIONS -> oneOf(Kind.CONFIGURE, Kind.CONFIGURE_ROUTE);
      case CONTROL_AGENTS ->
          oneOf(Kind.STOP_CONTROL_AGENT, Kind.KILL_CONTROL_AGENT, Kind.WIPE_CONTROL_AGENT);
      case MIXED -> KINDS.get(random.nextInt(KINDS.size()));
    };
  }

  private Kind oneOf(Kind... kinds) {
    return kinds[random.nextInt(kinds.length)];
  }

  private void add(long atMillis, Kind kind) {
    boolean control =
        switch (kind) {
          case STOP_CONTROL_AGENT, KILL_CONTROL_AGENT, WIPE_CONTROL_AGENT -> true;
          default -> false;
        };
    int processes = control ? options.controlAgents() : options.dataPlanes();
    events.add(new PlannedEvent(atMillis, kind, random.nextInt(processes)));
  }
}
