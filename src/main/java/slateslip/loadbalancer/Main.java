package slateslip.loadbalancer;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import slateslip.loadbalancer.net.Agent;
import slateslip.loadbalancer.simulator.SimulatorAdapter;
import slateslip.loadbalancer.simulator.WireException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Command line of the load balancer's jar: {@code serve} runs an agent, {@code simulate} an
 * adapter.
 */
public final class Main {
  static final String USAGE =
      """
        usage: java -jar slateslip-loadbalancer.jar serve|simulate
          serve    run an agent with the configuration file that $RELAY_CONFIG names
          simulate run the load balancer for the simulator: frames on stdin, replies on stdout
          --help   show this text""";

  private Main() {}

  /** Runs the command named by the first argument and ends the process with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 1 && args[0].equals("--help")) {
      out.println(USAGE);
      return 0;
    }
    if (args.length != 1 || (!args[0].equals("simulate") && !args[0].equals("serve"))) {
      err.println(USAGE);
      return 2;
    }
    if (args[0].equals("serve")) {
      return serve(System.getenv("RELAY_CONFIG"), err);
    }
    try {
      new SimulatorAdapter(
              new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out))
          .run();
      return 0;
    } catch (WireException | IOException e) {
      err.println("slateslip-loadbalancer: " + e.getMessage());
      return 1;
    }
  }

  /** Runs an agent until the process receives SIGTERM; returns 1 if the agent cannot start. */
  static int serve(String config, PrintStream err) {
    Agent agent;
    CompletableFuture<Agent> started = new CompletableFuture<>();
    try {
      if (config == null) {
        throw new IllegalArgumentException("RELAY_CONFIG is not set");
      }
      // Installed before the agent reports readiness: without a handler, SIGHUP ends the JVM.
      Path file = Path.of(config);
      SignalHandler before =
          Signal.handle(
              new Signal("HUP"), signal -> started.thenAccept(running -> running.reload(file)));
      // If SIGHUP was ignored when the JVM started, no handler runs, and a reload request has no
      // other trace.
      if (before == SignalHandler.SIG_IGN) {
        err.println(
            "SIGHUP is ignored since the start of this process: a new configuration needs "
                + "a restart, or live_settings.check_ms");
      }
      agent = Agent.start(file);
      started.complete(agent);
    } catch (IOException | IllegalArgumentException e) {
      err.println("slateslip-loadbalancer: " + e.getMessage());
      return 1;
    }
    // SIGTERM runs the shutdown hooks: the agent drains, and halt(0) reports a success.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  agent.stop();
                  Runtime.getRuntime().halt(0);
                }));
    agent.awaitEnd();
    return 0;
  }
}
