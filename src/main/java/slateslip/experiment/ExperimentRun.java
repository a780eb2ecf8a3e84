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

/** Plays every variant of an experiment with every seed. */
final class ExperimentRun {
  private ExperimentRun() {}

  /**
   * What a variant gave over all seeds.
   *
   * @param bySeed worth earned by worth owed with each seed
   * @param violations rules that it broke, over all seeds
   */
  record VariantResult(
      String variant, Measurements measurements, List<Double> bySeed, int violations) {}

  /**
   * Plays an experiment, a few worlds at a time; the order of the results does not depend on it.
   */
  static List<VariantResult> play(Experiment experiment, int threads) {
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      List<List<Future<DataPlaneWorld.Result>>> runs = new ArrayList<>();
      for (Variant variant : experiment.variants()) {
        List<Future<DataPlaneWorld.Result>> ofVariant = new ArrayList<>();
        for (WorldPlan plan : experiment.plans()) {
          ofVariant.add(executor.submit(() -> DataPlaneWorld.run(plan, router(variant))));
        }
        runs.add(ofVariant);
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
    List<Double> bySeed = new ArrayList<>();
    int violations = 0;
    for (Future<DataPlaneWorld.Result> run : runs) {
      DataPlaneWorld.Result result = get(run);
      all.add(result.measurements());
      bySeed.add(result.measurements().whole().valueFraction());
      violations += result.violations().size();
    }
    return new VariantResult(name, all, bySeed, violations);
  }

  private static DataPlaneWorld.Result get(Future<DataPlaneWorld.Result> run) {
    try {
      return run.get();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while a world was played", interrupted);
    } catch (ExecutionException broken) {
      throw new IllegalStateException("a world broke", broken.getCause());
    }
  }
}
