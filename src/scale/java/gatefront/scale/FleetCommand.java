package gatefront.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Plays the experiments of files, one after the other. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
    description = "Plays experiments with thousands of hollow agents beside real ones, see src/scale/experiments.")
final class FleetCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "An experiment as a JSON file.")
    private List<Path> files;

    @Override
    public Integer call() throws IOException {
        int failed = 0;
        try {
            List<FleetExperiment> plans = files.stream().map(FleetExperiment::read).toList();
            for (FleetExperiment each : plans) {
                failed += judged(each) ? 0 : 1;
            }
        } catch (IllegalArgumentException e) {
            System.err.println("gatefront-scale: " + e.getMessage());
            return 2;
        }
        return failed == 0 ? 0 : 1;
    }

    /** Plays one and says what is wrong with what came of it. */
    static boolean judged(FleetExperiment plan) throws IOException {
        List<String> wrong = FleetRun.play(plan, System.out).complaints();
        wrong.forEach(each -> System.out.println("WRONG " + plan.name() + ": " + each));
        System.out.println(plan.name() + ": " + (wrong.isEmpty() ? "all as it has to be" : wrong.size() + " wrong"));
        return wrong.isEmpty();
    }
}
