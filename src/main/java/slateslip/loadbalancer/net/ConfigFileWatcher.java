package slateslip.loadbalancer.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;

/**
 * Reads the configuration file again while the agent runs: when a signal asks for it, on the
 * signal's own thread, and where settings are live also when the file has changed, on a thread that
 * is there only once it has to look. Guards against an event loop that reads files, against two
 * reads whose results would overtake each other (one at a time; what is asked for meanwhile is one
 * more read after it), and against an agent that is left behind by a lost signal or by a file seen
 * half-written.
 */
public final class ConfigFileWatcher {
  /**
   * What one read has found.
   *
   * @param discovery where discovery is, or null if the file does not tell
   * @param config the configuration, or null if it is unusable
   * @param version of its settings; negative if the file does not tell
   * @param unusable why it is unusable, or null
   * @param requested whether somebody asked for this read; else the file had changed
   * @param micros how long the reading took
   */
  public record ReadResult(
      InetSocketAddress discovery,
      AgentConfig config,
      long version,
      String unusable,
      boolean requested,
      long micros) {}

  /** What tells whether a file has changed. One written a moment before may have changed unseen. */
  private record Stamp(Path file, FileTime modified, long size, Object key) {
    static Stamp of(Path file) {
      try {
        var now = Files.readAttributes(file, BasicFileAttributes.class);
        return new Stamp(file, now.lastModifiedTime(), now.size(), now.fileKey());
      } catch (IOException e) {
        return null;
      }
    }

    boolean isOldEnough() {
      boolean fine = modified.toMillis() % 1000 != 0;
      long age = System.currentTimeMillis() - modified.toMillis();
      return Math.abs(age) > (fine ? FINE_TIMESTAMP_MS : COARSE_TIMESTAMP_MS);
    }
  }

  /**
   * Times of files may be as coarse as this, and where they show parts of a second, as the system's
   * clock.
   */
  private static final long COARSE_TIMESTAMP_MS = 2_000;

  private static final long FINE_TIMESTAMP_MS = 100;

  /** How soon an unusable file is looked at again where nobody says how often to look. */
  private static final long UNUSABLE_MS = 1_000;

  private final boolean live;
  private final Consumer<ReadResult> then;
  private Path file;
  private boolean reading;
  private boolean wanted;
  private boolean requested;

  /**
   * The file as last read, or null if that says nothing for now; and whether it could not be used.
   */
  private Stamp seen;

  private boolean unusable;
  private long everyMs;
  private Thread watcher;
  private boolean closed;

  /**
   * Reads nothing yet.
   *
   * @param file which, or null until it is named
   * @param live whether settings have versions; otherwise only a whole usable file tells anything
   * @param then hears of each read, one at a time, on the thread that has read
   */
  public ConfigFileWatcher(Path file, boolean live, Consumer<ReadResult> then) {
    this.file = file;
    this.live = live;
    this.then = then;
  }

  /** Reads the file, or has it read once more by the thread that reads now. */
  public void read(Path from) {
    synchronized (this) {
      file = from;
      requested = true;
    }
    read();
  }

  private void read() {
    synchronized (this) {
      wanted = true;
      if (reading) {
        return;
      }
      reading = true;
    }
    boolean more = true;
    while (more) {
      more = false;
      try {
        more = readOnce();
      } finally {
        if (!more) {
          synchronized (this) {
            reading = false;
          }
        }
      }
    }
  }

  /** Reads if that is wanted; false if not, and then nobody reads any more. */
  private boolean readOnce() {
    Path from;
    boolean byRequest;
    synchronized (this) {
      if (!wanted || closed) {
        reading = false;
        return false;
      }
      wanted = false;
      from = file;
      byRequest = requested;
      requested = false;
    }
    Stamp stamp = Stamp.of(from); // before the read: what changes during it is seen afterwards
    boolean oldEnough = stamp != null && stamp.isOldEnough();
    ReadResult result = readFile(from, byRequest);
    synchronized (this) {
      seen = oldEnough ? stamp : null;
      unusable = result.unusable != null;
      startPollingIfNeeded();
    }
    then.accept(result);
    return true;
  }

  private ReadResult readFile(Path from, boolean byRequest) {
    long start = System.nanoTime();
    InetSocketAddress discovery = null;
    AgentConfig config = null;
    long version = -1;
    String why = null;
    try {
      if (live) {
        JsonNode root = AgentConfig.readAgain(from);
        discovery = AgentConfig.discovery(root);
        version = AgentConfig.version(root);
        config = AgentConfig.of(root);
      } else {
        config = AgentConfig.read(from);
        discovery = config.discovery();
      }
    } catch (IllegalArgumentException e) {
      why = e.getMessage();
    }
    return new ReadResult(
        discovery, config, version, why, byRequest, (System.nanoTime() - start) / 1000);
  }

  /** From now on looks whether the file has changed; 0 for no more. */
  public synchronized void pollEvery(long ms) {
    everyMs = ms;
    startPollingIfNeeded();
  }

  /** Reads no more; a read that is under way ends as it may. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  private long waitMs() {
    return everyMs > 0 ? everyMs : live && unusable ? UNUSABLE_MS : 0;
  }

  private void startPollingIfNeeded() {
    if (watcher == null && file != null && waitMs() > 0) {
      watcher = new Thread(this::poll, "config");
      watcher.setDaemon(true);
      watcher.start();
    } else {
      notifyAll();
    }
  }

  private void poll() {
    try {
      while (awaitNextPoll()) {
        Stamp last;
        synchronized (this) {
          last = seen;
        }
        if (last == null || !last.equals(Stamp.of(last.file))) {
          read();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until it is time for a look; false at the end. */
  private synchronized boolean awaitNextPoll() throws InterruptedException {
    long since = System.nanoTime();
    while (!closed) {
      long ms = waitMs();
      long left = ms - (System.nanoTime() - since) / 1_000_000;
      if (ms > 0 && left <= 0) {
        return true;
      }
      wait(ms > 0 ? left : 0);
    }
    return false;
  }
}
