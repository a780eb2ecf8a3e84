package slateslip.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CommandLineTest {
  private static final String SETTINGS =
      """
      node=edge-1
      ip=127.0.0.1
      zone=north
      port_range=7500,7515
      seed_nodes=127.0.0.1:1
      """;
  private static final String CONFIGURATION =
      """
      {"version":7,"services":[{"name":"s"}],"routes":[{"name":"r","hostname":"h","path_prefix":"/",\
      "timeout_ms":5,"service":"s"}]}""";

  @TempDir Path directory;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final List<String> started = new ArrayList<>();

  private int run(Program program, ProgramStart start, Path settings, String... arguments) {
    CommandLine commandLine =
        new CommandLine(program, start, new PrintStream(output), new PrintStream(errors));
    return commandLine.execute(arguments, settings == null ? null : settings.toString());
  }

  private int run(Program program, Path settings, String... arguments) {
    ProgramStart start = (file, read) -> started.add(file + " " + read.node());
    return run(program, start, settings, arguments);
  }

  private Path file(String name, String content) throws IOException {
    return Files.writeString(directory.resolve(name), content);
  }

  private String standardOutput() {
    return output.toString(StandardCharsets.UTF_8);
  }

  private String errorOutput() {
    return errors.toString(StandardCharsets.UTF_8);
  }

  @Test
  void runStartsTheProgramWithItsSettings() throws IOException {
    Path settings = file("settings.conf", SETTINGS);
    assertThat(run(Program.DATA_PLANE, settings), equalTo(0));
    assertThat(run(Program.DATA_PLANE, settings, "run"), equalTo(0));
    assertThat(started, equalTo(List.of(settings + " edge-1", settings + " edge-1")));
  }

  @Test
  void invalidSettingsAreReportedWithTheirKey() throws IOException {
    Path settings = file("settings.conf", SETTINGS.replace("zone=north", "zone="));
    assertThat(run(Program.DATA_PLANE, settings), equalTo(ExitStatus.INVALID));
    assertThat(errorOutput(), containsString("zone: is missing"));
    assertThat(started, equalTo(List.of()));
    assertThat(run(Program.DATA_PLANE, (Path) null), equalTo(ExitStatus.INVALID));
    assertThat(errorOutput(), containsString(CommandLine.SETTINGS_VARIABLE));
  }

  @Test
  void failedStartIsReported() throws IOException {
    ProgramStart failing =
        (file, settings) -> {
          throw new IOException("port in use");
        };
    Path settings = file("settings.conf", SETTINGS);
    assertThat(run(Program.DATA_PLANE, failing, settings), equalTo(ExitStatus.FAILURE));
    assertThat(errorOutput(), containsString("port in use"));
  }

  @Test
  void helpListsOnlyTheCommandsOfTheProgram() {
    assertThat(run(Program.DATA_PLANE, null, "--help"), equalTo(0));
    assertThat(
        standardOutput(),
        allOf(containsString("check-settings"), not(containsString("config put"))));
    assertThat(run(Program.CONTROL_PLANE, null, "-h"), equalTo(0));
    assertThat(standardOutput(), allOf(containsString("config put"), containsString("--control")));
  }

  @Test
  void versionOptionPrintsTheVersion() {
    assertThat(run(Program.CONTROL_PLANE, null, "--version"), equalTo(0));
    assertThat(standardOutput(), startsWith("slateslip-controlplane "));
  }

  @Test
  void invalidCommandPrintsTheHelp() {
    for (String[] arguments :
        new String[][] {{"fly"}, {"--fly"}, {"config", "put"}, {"check-settings"}, {"-b"}}) {
      assertThat(run(Program.CONTROL_PLANE, null, arguments), equalTo(ExitStatus.INVALID));
      assertThat(errorOutput(), containsString("Commands:"));
    }
    assertThat(run(Program.DATA_PLANE, null, "status"), equalTo(ExitStatus.INVALID));
    assertThat(started, equalTo(List.of()));
  }

  @Test
  void checkCommandsReportValidAndInvalidFiles() throws IOException {
    String good = file("good.conf", SETTINGS).toString();
    assertThat(run(Program.DATA_PLANE, null, "check-settings", good), equalTo(0));
    String tolerant = file("zones.conf", SETTINGS + "\nfault_tolerance.zones=1\n").toString();
    assertThat(run(Program.DATA_PLANE, null, "check-settings", tolerant), equalTo(0));
    assertThat(standardOutput(), containsString("warning: fault_tolerance.zones=1 needs"));
    String bad = file("bad.conf", "ip=x\n").toString();
    assertThat(run(Program.DATA_PLANE, null, "check-settings", bad), equalTo(ExitStatus.INVALID));
    assertThat(errorOutput(), containsString("ip: \"x\" is not an IPv4 address"));
    String valid = file("valid.json", CONFIGURATION).toString();
    assertThat(run(Program.CONTROL_PLANE, null, "config", "check", valid), equalTo(0));
    assertThat(
        standardOutput(), containsString("valid, version 7, 1 routes, 1 services, 0 tenants"));
    String invalid = file("invalid.json", CONFIGURATION.replace(":5", ":0")).toString();
    assertThat(
        run(Program.CONTROL_PLANE, null, "config", "check", invalid), equalTo(ExitStatus.INVALID));
    assertThat(errorOutput(), containsString("routes \"r\": timeout_ms is 0"));
  }

  @Test
  void commandWithoutControlAgentIsRejected() {
    assertThat(run(Program.CONTROL_PLANE, null, "status"), equalTo(ExitStatus.INVALID));
    assertThat(errorOutput(), containsString("no control agent is known"));
  }

  /**
   * A stub of a control agent that returns prepared responses in order and records the requests.
   */
  private static final class ControlAgent implements AutoCloseable {
    private record PreparedResponse(int status, String body) {}

    private final HttpServer server;
    private final List<String> calls = new ArrayList<>();
    private final List<PreparedResponse> responses = new ArrayList<>();

    ControlAgent() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
      server.createContext("/", this::respond);
      server.start();
    }

    ControlAgent respondingWith(int status, String body) {
      responses.add(new PreparedResponse(status, body));
      return this;
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void respond(HttpExchange exchange) throws IOException {
      String base = exchange.getRequestHeaders().getFirst("If-Match");
      byte[] sent = exchange.getRequestBody().readAllBytes();
      calls.add(
          exchange.getRequestMethod()
              + " "
              + exchange.getRequestURI()
              + " "
              + base
              + " "
              + sent.length);
      PreparedResponse response = responses.remove(0);
      byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(response.status(), body.length);
      exchange.getResponseBody().write(body);
      exchange.close();
    }

    @Override
    public void close() {
      server.stop(0);
    }
  }

  @Test
  void statusCommandPrintsTheResponse() throws IOException {
    try (ControlAgent agent = new ControlAgent().respondingWith(200, "{\"epoch\":3}")) {
      assertThat(
          run(Program.CONTROL_PLANE, null, "status", "--control", agent.address()), equalTo(0));
      assertThat(standardOutput(), containsString("{\"epoch\":3}"));
    }
  }

  @Test
  void seedNodesOfTheSettingsFileAreUsedAsControlAgents() throws IOException {
    try (ControlAgent agent = new ControlAgent().respondingWith(200, CONFIGURATION)) {
      Path settings = file("s.conf", SETTINGS.replace("127.0.0.1:1", agent.address()));
      assertThat(run(Program.CONTROL_PLANE, settings, "config", "get"), equalTo(0));
      assertThat(standardOutput(), containsString(CONFIGURATION));
    }
  }

  @Test
  void configPutBuildsOnNewestVersion() throws IOException {
    String document = file("new.json", CONFIGURATION).toString();
    try (ControlAgent agent =
        new ControlAgent().respondingWith(200, CONFIGURATION).respondingWith(200, "")) {
      int status =
          run(Program.CONTROL_PLANE, null, "-c", agent.address(), "config", "put", document);
      assertThat(status, equalTo(0));
      assertThat(
          agent.calls,
          equalTo(List.of("GET /config null 0", "PUT /config 7 " + CONFIGURATION.length())));
    }
  }

  @Test
  void rejectionIsReportedAndNotRetried() throws IOException {
    String document = file("new.json", CONFIGURATION).toString();
    try (ControlAgent agent = new ControlAgent().respondingWith(412, "version 9 is current")) {
      int status =
          run(
              Program.CONTROL_PLANE,
              null,
              "-c",
              agent.address(),
              "-b",
              "7",
              "config",
              "patch",
              document);
      assertThat(status, equalTo(ExitStatus.INVALID));
      assertThat(errorOutput(), containsString("412: version 9 is current"));
      assertThat(agent.calls, equalTo(List.of("PATCH /config 7 " + CONFIGURATION.length())));
    }
  }

  @Test
  void ambiguousResponseRetriesAtNextAgent() throws IOException {
    try (ControlAgent failing = new ControlAgent().respondingWith(503, "no majority");
        ControlAgent working = new ControlAgent().respondingWith(200, "")) {
      ControlClient client =
          new ControlClient(List.of(failing.address(), working.address()), Duration.ZERO);
      ControlClient.Reply reply = client.send("PUT", "/config", "7", new byte[] {1, 2, 3});
      assertThat(reply.isSuccess(), equalTo(true));
      assertThat(failing.calls, equalTo(List.of("PUT /config 7 3")));
      assertThat(working.calls, equalTo(failing.calls));
    }
  }

  @Test
  void missingResponseIsReportedAsFailure() throws IOException {
    String address;
    try (ControlAgent gone = new ControlAgent()) {
      address = gone.address();
    }
    ControlClient client = new ControlClient(List.of(address), Duration.ZERO);
    ControlClient.Reply reply = client.get("/status");
    assertThat(reply.isSuccess(), equalTo(false));
    assertThat(reply.describe(), startsWith("no answer: "));
  }
}
