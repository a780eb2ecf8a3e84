package slateslip.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import slateslip.experiment.Experiment.Variant;
import slateslip.experiment.policy.PolicyRouter;
import slateslip.routing.FleetRouter;
import slateslip.simulation.dataplane.DataPlaneWorld;
import slateslip.simulation.dataplane.DataPlaneWorld.RouterFactory;
import slateslip.simulation.dataplane.Measurements;
import slateslip.simulation.dataplane.WorldPlan;

/** Simulates every variant of an experiment with every seed. */
final class ExperimentRun {
  private ExperimentRun() {}

  /**
   * Results of one variant over all seeds.
   *
   * @param variant name of the variant
   * @param measurements measurements of all seeds together
   * @param valueFractionsBySeed for each seed, the value earned by served requests as a fraction of
   *     the value of all requests
   * @param violations number of rule violations over all seeds
   */
  record VariantResult(
      String variant,
      Measurements measurements,
      List<Double> valueFractionsBySeed,
      int violations) {}

  /**
   * Runs all simulations of an experiment on the given number of threads. The number of threads
   * does not affect the results or their order.
   */
  static List<VariantResult> run(Experiment experiment, int threads) {
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      List<List<Future<DataPlaneWorld.Result>>> runs = new ArrayList<>();
      for (Variant variant : experiment.variants()) {
        List<Future<DataPlaneWorld.Result>> variantRuns = new ArrayList<>();
        for (WorldPlan plan : experiment.plans()) {
          variantRuns.add(executor.submit(() -> DataPlaneWorld.run(plan, router(variant))));
        }
        runs.add(variantRuns);
      }
      List<VariantResult> results = new ArrayList<>();
      for (int i = 0; i < runs.size(); i++) {
        results.add(merge(experiment.variants().get(i).name(), runs.get(i)));
      }
      return results;
    } finally {
      executor.shutdownNow();
    }
  }

  private static RouterFactory router(Variant variant) {
    return variant.policy() == null
        ? settings -> new FleetRouter(settings.withPolicy(variant.mechanisms()))
        : settings -> new PolicyRouter(settings.zone(), variant.policy());
  }

  private static VariantResult merge(String name, List<Future<DataPlaneWorld.Result>> runs) {
    Measurements all = new Measurements();
    List<Double> valueFractionsBySeed = new ArrayList<>();
    int violations = 0;
    for (Future<DataPlaneWorld.Result> run : runs) {
      DataPlaneWorld.Result result = get(run);
      all.add(result.measurements());
      valueFractionsBySeed.add(result.measurements().whole().valueFraction());
      violations += result.violations().size();
    }
    return new VariantResult(name, all, valueFractionsBySeed, violations);
  }

  private static DataPlaneWorld.Result get(Future<DataPlaneWorld.Result> run) {
    try {
      return run.get();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while a simulation was running", interrupted);
    } catch (ExecutionException failure) {
      throw new IllegalStateException("a simulation failed", failure.getCause());
    }
  }
}
