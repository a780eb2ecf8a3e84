package slateslip.loadbalancer.scale;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the scale run: an emulator of the fleet on one machine. */
@Command(
    name = "slateslip-scale",
    mixinStandardHelpOptions = true,
    version = "0.1.0",
    subcommands = {
      RunCommand.class,
      DiscoveryCommand.class,
      HollowCommand.class,
      RunCommand.Latency.class,
      RunCommand.Slopes.class,
      ShortCommand.class
    },
    description =
        "Plays experiments with hollow and real agents and stand-ins on the loopback interface.")
public final class Main implements Runnable {
  /** Runs the subcommand that the arguments name. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  @Override
  public void run() {
    CommandLine.usage(this, System.out);
  }
}
