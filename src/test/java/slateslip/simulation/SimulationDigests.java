package slateslip.simulation;

import java.util.function.LongUnaryOperator;
import slateslip.routing.FleetRouter;
import slateslip.simulation.agents.AgentScheduleRunner;
import slateslip.simulation.control.ScheduleRunner;
import slateslip.simulation.dataplane.DataPlaneWorld;
import slateslip.simulation.dataplane.WorldPlans;

/**
 * Prints a digest of the history of each seed for the three simulations: agents, control and
 * dataplane.
 *
 * <p>A change that must not alter behaviour, such as a rename or a move, must leave the output
 * identical: compare the output of the commit before the change with the output of the commit after
 * the change.
 */
public final class SimulationDigests {
  private static final long DEFAULT_SEEDS = 100;

  private SimulationDigests() {}

  /**
   * Runs the seeds from 1 on.
   *
   * @param arguments number of seeds of each simulation; 100 if omitted
   */
  public static void main(String[] arguments) {
    long seeds = arguments.length > 0 ? Long.parseLong(arguments[0]) : DEFAULT_SEEDS;
    print("agents", seeds, AgentScheduleRunner::digest);
    print("control", seeds, ScheduleRunner::digest);
    print("dataplane", seeds, SimulationDigests::dataPlaneDigest);
  }

  private static void print(String world, long seeds, LongUnaryOperator digest) {
    for (long seed = 1; seed <= seeds; seed++) {
      System.out.println(world + " " + seed + " " + Long.toHexString(digest.applyAsLong(seed)));
    }
  }

  private static long dataPlaneDigest(long seed) {
    return DataPlaneWorld.run(WorldPlans.random(seed), FleetRouter::new).digest();
  }
}
