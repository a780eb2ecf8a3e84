package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Real agents as children of this process, started as in service: by the line {@code run} of the
 * deploy file, from the root, with a configuration in a folder of their own. The deploy file's
 * {@code build} has to have been run there before.
 */
public final class RealAgents implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern LISTENING = Pattern.compile("^listening on (.*)$");

  /** What the line needs and the build leaves, the one later than the other. */
  private static final String JAR = "target/slateslip-loadbalancer.jar";

  private static final String ARCHIVE = "target/slateslip-loadbalancer.jsa";
  private static final int LOG_LINES = 40;
  private static final long READY_SECONDS = 60;
  private static final int POLL_MS = 50;
  private static final long END_SECONDS = 10;

  private final Children children;
  private final Path root;
  private final String run;
  private final Path folder;
  private final List<RealAgent> agents = new ArrayList<>();
  private final BiConsumer<String, String> hears;

  /**
   * None yet.
   *
   * @param root the repository's folder
   * @throws IOException if the deploy file cannot be read or its build has not been run
   */
  public RealAgents(Children children, Path root) throws IOException {
    this(children, root, (name, line) -> {});
  }

  /**
   * The same.
   *
   * @param hears an agent's name and a line of its log, at once and on a thread of that log
   */
  RealAgents(Children children, Path root, BiConsumer<String, String> hears) throws IOException {
    this.hears = hears;
    this.children = children;
    this.root = root;
    // An archive that does not belong to the jar is passed over, and starts would take twice as
    // long.
    if (!Files.exists(root.resolve(ARCHIVE))
        || Files.getLastModifiedTime(root.resolve(ARCHIVE))
                .compareTo(Files.getLastModifiedTime(root.resolve(JAR)))
            < 0) {
      throw new IOException(ARCHIVE + " is missing or old: run the build of deploy/balancer.toml");
    }
    Matcher line = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!line.find()) {
      throw new IOException("deploy/balancer.toml: run is missing");
    }
    this.run = line.group(1);
    this.folder = Files.createTempDirectory("slateslip-scale");
  }

  /**
   * What an agent is told.
   *
   * @param template the configuration but for what follows; its settings are those of every agent
   * @param listen where clients connect, a loopback address; port 0 for any
   * @param groupSize how many agents the settings say there are
   * @param number its own among them
   */
  public record Told(
      JsonNode template, String listen, InetSocketAddress discovery, int groupSize, int number) {
    ObjectNode config(String name) {
      ObjectNode config = template.deepCopy();
      config
          .put("name", name)
          .put("listen", listen)
          .put("discovery", Addresses.text(discovery))
          .put("seed", String.format("%016x", 0x9e3779b97f4a7c15L * (number + 1)));
      ObjectNode settings = (ObjectNode) config.get("settings");
      settings.put("group-size", groupSize).put("me", number);
      return config;
    }
  }

  /**
   * Starts an agent; it may not listen yet.
   *
   * @throws IOException if it cannot be started
   */
  public RealAgent start(String name, Told notified) throws IOException {
    RealAgent agent = new RealAgent(name, notified);
    agents.add(agent);
    return agent;
  }

  /** Those started, in their order. */
  public List<RealAgent> all() {
    return List.copyOf(agents);
  }

  /** Asks all to end, kills those that do not, and removes their folders. */
  @Override
  public void close() throws IOException {
    agents.forEach(each -> each.process.destroy());
    agents.forEach(RealAgent::kill);
    try (var files = Files.walk(folder)) {
      for (Path each : files.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.deleteIfExists(each);
      }
    }
  }

  /** One real agent. */
  public final class RealAgent {
    private final String name;
    private final Told notified;
    private final Path config;
    private final Process process;
    private final long startedAt;
    private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
    private final Deque<String> log = new ArrayDeque<>();
    private long lines;

    private RealAgent(String name, Told notified) throws IOException {
      this.name = name;
      this.notified = notified;
      Path own = Files.createDirectory(folder.resolve(name));
      config = own.resolve("config.json");
      Files.writeString(config, Json.line(notified.config(name)));
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", run)
              .directory(root.toFile())
              .redirectOutput(ProcessBuilder.Redirect.DISCARD);
      builder.environment().put("RELAY_NAME", name);
      builder.environment().put("RELAY_LISTEN", notified.listen());
      builder.environment().put("RELAY_DISCOVERY", Addresses.text(notified.discovery()));
      builder.environment().put("RELAY_CONFIG", config.toString());
      builder.environment().put("TMPDIR", own.toString());
      startedAt = System.nanoTime();
      process = children.start(builder);
      Thread reader = new Thread(this::read, "log of " + name);
      reader.setDaemon(true);
      reader.start();
    }

    private void read() {
      try (BufferedReader from = process.errorReader(StandardCharsets.UTF_8)) {
        for (String line = from.readLine(); line != null; line = from.readLine()) {
          Matcher at = LISTENING.matcher(line);
          if (at.matches()) {
            listening.complete(Addresses.of(at.group(1)));
          }
          keep(line);
          hears.accept(name, line);
        }
      } catch (IOException e) {
        keep("the log broke off: " + e.getMessage());
      }
      listening.completeExceptionally(new IOException(name + " has ended: " + log()));
    }

    private synchronized void keep(String line) {
      lines++;
      log.addLast(line);
      if (log.size() > LOG_LINES) {
        log.removeFirst();
      }
    }

    /** The last lines of its log. */
    public synchronized List<String> log() {
      return List.copyOf(log);
    }

    /** How many lines it has logged. */
    public synchronized long logged() {
      return lines;
    }

    /** Its name among the agents. */
    public String name() {
      return name;
    }

    /** Its process id. */
    public long pid() {
      return process.pid();
    }

    /** When it was started, by {@link System#nanoTime}. */
    public long startedAt() {
      return startedAt;
    }

    /** Whether its process runs. */
    public boolean isAlive() {
      return process.isAlive();
    }

    /**
     * Waits until it listens and says where.
     *
     * @throws IOException if it has ended or does not come up
     */
    public InetSocketAddress awaitListening() throws IOException, InterruptedException {
      try {
        return listening.get(READY_SECONDS, TimeUnit.SECONDS);
      } catch (ExecutionException | TimeoutException e) {
        throw new IOException(name + " does not listen: " + log(), e);
      }
    }

    /** The same until it answers that it is ready. */
    public InetSocketAddress awaitReady() throws IOException, InterruptedException {
      InetSocketAddress at = awaitListening();
      URI uri = URI.create("http://" + Addresses.text(at) + "/healthz");
      long until = startedAt + TimeUnit.SECONDS.toNanos(READY_SECONDS);
      while (!ready(uri)) {
        if (System.nanoTime() - until > 0) {
          throw new IOException(name + " is not ready: " + log());
        }
        Thread.sleep(POLL_MS);
      }
      return at;
    }

    private boolean ready(URI uri) {
      try {
        HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
        connection.setRequestProperty("Connection", "close");
        connection.setReadTimeout(1000);
        return connection.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Writes other settings for it and has it read them: SIGHUP. */
    public void reload(Told other) throws IOException, InterruptedException {
      Files.writeString(config, Json.line(other.config(name)));
      children.start(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))).waitFor();
    }

    /** What it was told at its start. */
    public Told notified() {
      return notified;
    }

    /** Asks it to end: SIGTERM. */
    public void terminate() {
      process.destroy();
    }

    /** Kills it if it does not end by itself. */
    public void kill() {
      try {
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
          process.destroyForcibly().waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        process.destroyForcibly();
      }
    }
  }
}
