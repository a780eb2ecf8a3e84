package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Plays an experiment on a fleet: what comes before the event, the event, what comes after it. */
final class FleetRun {
  /** The zone that is lost. */
  private static final int LOST_ZONE = 0;

  /** Between two changes while programs warm up. */
  private static final int WARM_MS = 100;

  private final FleetPlan plan;
  private final Report report;
  private final Children children;
  private final List<FleetPhase> phases = new ArrayList<>();
  private int changesBeforeReturn;
  private boolean killed;

  private FleetRun(FleetPlan plan, Report report, Children children) {
    this.plan = plan;
    this.report = report;
    this.children = children;
  }

  /** What happens in a part of an experiment. */
  @FunctionalInterface
  private interface Part {
    void play() throws IOException;
  }

  /**
   * Plays an experiment and prints a JSON line an interval, then a table.
   *
   * @return what came of it
   * @throws IOException if a process does not come up or ends before its time
   */
  static FleetResult play(FleetPlan plan, Report report, Children children) throws IOException {
    return new FleetRun(plan, report, children).play();
  }

  private FleetResult play() throws IOException {
    report.line("plan", Map.of("plan", plan));
    try (FleetProcesses fleet = new FleetProcesses(plan, report, children)) {
      part(fleet, "before", () -> fleet.pass(millis(plan.beforeSeconds()), true));
      for (FleetPlan.Event each : plan.events()) {
        event(fleet, each);
      }
      part(
          fleet,
          "after",
          () -> {
            fleet.pass(millis(plan.afterSeconds()), true);
            fleet.stabilize();
          });
      FleetOutcome outcome = fleet.outcome(phases, killed, fleet.changes() - changesBeforeReturn);
      FleetPhase.tell(report, plan.name() + ": " + plan.scale(), phases);
      JsonNode totals = fleet.totals();
      tell(totals);
      report.line("logs", Map.of("logs", fleet.real().logs()));
      report.line("outcome", Map.of("outcome", outcome));
      return new FleetResult(outcome, List.copyOf(phases), totals);
    }
  }

  private void event(FleetProcesses fleet, FleetPlan.Event event) throws IOException {
    long during = millis(plan.eventSeconds());
    String zone = FleetConfig.zone(LOST_ZONE);
    switch (event) {
      case WARM -> part(fleet, "warm", () -> fleet.pass(during, WARM_MS));
      case IDLE -> part(fleet, "idle", () -> fleet.pass(during, false));
      case FULL ->
          part(
              fleet,
              "whole",
              () -> {
                fleet.forget();
                fleet.stabilize();
              });
      case STEADY -> part(fleet, "steady", () -> fleet.pass(during, true));
      case ZONE -> {
        part(
            fleet,
            "zone lost",
            () -> {
              fleet.change(fleet.servers().zone(zone, ServerEntry.Status.GONE, 0));
              fleet.pass(during, false);
            });
        part(
            fleet,
            "zone back",
            () -> {
              fleet.change(
                  fleet.servers().zone(zone, ServerEntry.Status.READY, System.currentTimeMillis()));
              fleet.pass(during, false);
            });
      }
      case DOWN, UNRESPONSIVE -> {
        String[] how =
            event == FleetPlan.Event.DOWN
                ? new String[] {"down", "up"}
                : new String[] {"cut-off", "reachable"};
        part(
            fleet,
            event == FleetPlan.Event.DOWN ? "down" : "silent",
            () -> {
              fleet.disconnect(how[0]);
              fleet.pass(during, true);
              fleet.reachable(how[1]);
              fleet.stabilize();
            });
      }
      case KILL -> {
        killed = true;
        part(
            fleet,
            "killed",
            () -> {
              fleet.kill();
              fleet.pass(during, false);
              fleet.restart();
              changesBeforeReturn = fleet.changes();
            });
      }
      case SETTINGS -> {
        part(
            fleet,
            "settings",
            () -> {
              fleet.settingsBurst(plan.versions());
              fleet.pass(during, true);
            });
        List<List<String>> rows = new ArrayList<>();
        List<ChangeTimes.Spread> times = fleet.settingsTimes();
        for (int i = 0; i < times.size(); i++) {
          List<String> row = new ArrayList<>(List.of(i == 0 ? "hollow" : "real"));
          row.addAll(FleetPhase.cells(times.get(i)));
          rows.add(row);
        }
        report.table(
            plan.versions()
                + " versions of the settings in "
                + Report.number(fleet.settingsSeconds(), 2)
                + " s; ms until each is in force",
            List.of("agents", "had", "half", "99%", "last"),
            rows);
      }
    }
  }

  private void part(FleetProcesses fleet, String name, Part part) throws IOException {
    fleet.mark();
    part.play();
    phases.add(fleet.phase(name));
  }

  private void tell(JsonNode totals) {
    List<List<String>> rows = new ArrayList<>();
    totals
        .properties()
        .forEach(each -> rows.add(List.of(each.getKey(), each.getValue().toString())));
    report.table(plan.name() + ": counts and costs in all", List.of("figure", "value"), rows);
  }

  private static long millis(int seconds) {
    return TimeUnit.SECONDS.toMillis(seconds);
  }
}
