package gatefront.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Plays all that the experiments on a fleet play, small. */
@Command(name = "short", mixinStandardHelpOptions = true,
    description = "Plays small experiments on a fleet, under 60 s in all, and judges counts and order.")
final class ShortCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 0;
    }
}
