package slateslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;

/** Executes the operator's commands that send requests to control agents. */
final class OperatorCommands {
  /**
   * Result of executing a command.
   *
   * @param known whether the command exists
   * @param status exit status of the command, a constant of {@link ExitStatus}
   */
  record Outcome(boolean known, int status) {}

  private static final Duration RETRY_DELAY = Duration.ofMillis(200);
  private static final String NO_VERSION = "0";

  private final PrintStream output;
  private final PrintStream errors;

  OperatorCommands(PrintStream output, PrintStream errors) {
    this.output = output;
    this.errors = errors;
  }

  /**
   * Executes a command.
   *
   * @param words words of the command line without options
   * @param addresses comma-separated addresses of control agents; null for the seed nodes of the
   *     settings file
   * @param base configuration version that the change is based on; null for the newest version
   * @param settingsPath path of the settings file; null if none is given
   */
  Outcome execute(List<String> words, String addresses, String base, String settingsPath) {
    String command = String.join(" ", words.subList(0, Math.min(2, words.size())));
    boolean known =
        switch (command) {
          case "status", "config get" -> true;
          case "config put", "config patch" -> words.size() == 3;
          default -> false;
        };
    if (!known) {
      return new Outcome(false, ExitStatus.INVALID);
    }
    List<String> agents = agents(addresses, settingsPath);
    if (agents.isEmpty()) {
      errors.println(
          "no control agent is known: give --control or " + CommandLine.SETTINGS_VARIABLE);
      return new Outcome(true, ExitStatus.INVALID);
    }
    ControlClient client = new ControlClient(agents, RETRY_DELAY);
    int status =
        switch (command) {
          case "status" -> show(client.get("/status"));
          case "config get" -> show(client.get("/config"));
          case "config put" -> send(client, "PUT", Path.of(words.get(2)), base);
          default -> send(client, "PATCH", Path.of(words.get(2)), base);
        };
    return new Outcome(true, status);
  }

  private int show(ControlClient.Reply reply) {
    if (!reply.isSuccess()) {
      errors.println(reply.describe());
      return ExitStatus.FAILURE;
    }
    output.println(reply.body());
    return ExitStatus.SUCCESS;
  }

  private int send(ControlClient client, String method, Path file, String givenBase) {
    byte[] document;
    try {
      document = Files.readAllBytes(file);
    } catch (IOException unreadable) {
      errors.println("cannot read " + file + ": " + unreadable);
      return ExitStatus.INVALID;
    }
    String base = givenBase == null ? newestVersion(client) : givenBase;
    if (base == null) {
      return ExitStatus.FAILURE;
    }
    ControlClient.Reply reply = client.send(method, "/config", base, document);
    if (!reply.isSuccess()) {
      errors.println(reply.describe());
      return reply.isRejection() ? ExitStatus.INVALID : ExitStatus.FAILURE;
    }
    output.println("acknowledged, on top of version " + base);
    return ExitStatus.SUCCESS;
  }

  private String newestVersion(ControlClient client) {
    ControlClient.Reply reply = client.get("/config");
    if (reply.status() == ControlClient.NOT_FOUND) {
      return NO_VERSION;
    }
    if (reply.isSuccess()) {
      byte[] document = reply.body().getBytes(StandardCharsets.UTF_8);
      if (ConfigurationDocument.parse(document) instanceof ConfigurationOutcome.Parsed parsed) {
        return Long.toString(parsed.document().version());
      }
    }
    errors.println("the newest version is not known: " + reply.describe());
    return null;
  }

  private List<String> agents(String addresses, String settingsPath) {
    if (addresses != null) {
      return Arrays.stream(addresses.split(",")).filter(address -> !address.isBlank()).toList();
    }
    List<String> seeds = new ArrayList<>();
    if (settingsPath != null
        && NodeSettings.load(Path.of(settingsPath)) instanceof SettingsOutcome.Valid valid) {
      for (InetSocketAddress seed : valid.settings().seeds()) {
        seeds.add(seed.getAddress().getHostAddress() + ":" + seed.getPort());
      }
    }
    return seeds;
  }
}
