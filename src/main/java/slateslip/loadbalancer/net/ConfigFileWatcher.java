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
 * Reads the configuration file again while the agent runs. After a signal the file is read on the
 * signal's thread. With live settings the file is also read when it has changed, on a polling
 * thread that starts only when it is needed. The event loop never reads files. Reads run one at a
 * time, so that their results cannot arrive out of order; requests during a read cause one further
 * read. Polling keeps an agent from missing a change because of a lost signal or because the file
 * was read while it was being written.
 */
public final class ConfigFileWatcher {
  /**
   * The result of one read.
   *
   * @param discovery the address of discovery, or null if the file has no usable one
   * @param config the configuration, or null if it is unusable
   * @param version the version of the settings; negative if the file has no usable version
   * @param unusable why the configuration is unusable, or null
   * @param requested whether the read was requested; false if the file had changed
   * @param micros the duration of the read in microseconds
   */
  public record ReadResult(
      InetSocketAddress discovery,
      AgentConfig config,
      long version,
      String unusable,
      boolean requested,
      long micros) {}

  /**
   * The attributes of a file that show whether the file has changed. If the file was written very
   * recently, a further write may leave the same attributes.
   */
  private record FileStamp(Path file, FileTime modified, long size, Object key) {
    static FileStamp of(Path file) {
      try {
        var now = Files.readAttributes(file, BasicFileAttributes.class);
        return new FileStamp(file, now.lastModifiedTime(), now.size(), now.fileKey());
      } catch (IOException e) {
        return null;
      }
    }

    boolean isOldEnough() {
      boolean hasFraction = modified.toMillis() % 1000 != 0;
      long age = System.currentTimeMillis() - modified.toMillis();
      return Math.abs(age) > (hasFraction ? FINE_TIMESTAMP_MS : COARSE_TIMESTAMP_MS);
    }
  }

  /**
   * The assumed resolution of modification times. Modification times that contain fractions of a
   * second have the resolution of the system clock, for which {@link #FINE_TIMESTAMP_MS} applies.
   */
  private static final long COARSE_TIMESTAMP_MS = 2_000;

  private static final long FINE_TIMESTAMP_MS = 100;

  /** The polling interval for an unusable file if the configuration does not set an interval. */
  private static final long UNUSABLE_POLL_MS = 1_000;

  private final boolean live;
  private final Consumer<ReadResult> onRead;
  private Path file;
  private boolean reading;
  private boolean readPending;
  private boolean requested;

  /**
   * The attributes of the file at the last read, or null if they are too recent to detect a further
   * change.
   */
  private FileStamp lastStamp;

  private boolean unusable;
  private long pollMs;
  private Thread watcher;
  private boolean closed;

  /**
   * Creates a watcher that reads nothing yet.
   *
   * @param file the file, or null until {@link #read(Path)} names it
   * @param live whether the settings have versions; without versions an unusable file yields no
   *     address of discovery either
   * @param onRead receives each result, one at a time, on the thread that has read the file
   */
  public ConfigFileWatcher(Path file, boolean live, Consumer<ReadResult> onRead) {
    this.file = file;
    this.live = live;
    this.onRead = onRead;
  }

  /**
   * Reads the file on the calling thread, or lets the thread that is already reading read it once
   * more.
   */
  public void read(Path from) {
    synchronized (this) {
      file = from;
      requested = true;
    }
    read();
  }

  private void read() {
    synchronized (this) {
      readPending = true;
      if (reading) {
        return;
      }
      reading = true;
    }
    boolean again = true;
    while (again) {
      again = false;
      try {
        again = readOnce();
      } finally {
        if (!again) {
          synchronized (this) {
            reading = false;
          }
        }
      }
    }
  }

  /**
   * Reads the file if a read is pending and returns true; otherwise returns false, after which no
   * thread is reading.
   */
  private boolean readOnce() {
    Path from;
    boolean byRequest;
    synchronized (this) {
      if (!readPending || closed) {
        reading = false;
        return false;
      }
      readPending = false;
      from = file;
      byRequest = requested;
      requested = false;
    }
    // The attributes are taken before the read, so that a change during the read is detected.
    FileStamp stamp = FileStamp.of(from);
    boolean oldEnough = stamp != null && stamp.isOldEnough();
    ReadResult result = readFile(from, byRequest);
    synchronized (this) {
      lastStamp = oldEnough ? stamp : null;
      unusable = result.unusable != null;
      startPollingIfNeeded();
    }
    onRead.accept(result);
    return true;
  }

  private ReadResult readFile(Path from, boolean byRequest) {
    long start = System.nanoTime();
    InetSocketAddress discovery = null;
    AgentConfig config = null;
    long version = -1;
    String reason = null;
    try {
      if (live) {
        JsonNode root = AgentConfig.readForReload(from);
        discovery = AgentConfig.discovery(root);
        version = AgentConfig.version(root);
        config = AgentConfig.of(root);
      } else {
        config = AgentConfig.read(from);
        discovery = config.discovery();
      }
    } catch (IllegalArgumentException e) {
      reason = e.getMessage();
    }
    return new ReadResult(
        discovery, config, version, reason, byRequest, (System.nanoTime() - start) / 1000);
  }

  /**
   * Sets the interval, in milliseconds, at which the file is checked for changes; 0 stops the
   * checks.
   */
  public synchronized void pollEvery(long ms) {
    pollMs = ms;
    startPollingIfNeeded();
  }

  /** Stops reading. A read in progress is not interrupted. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  private long waitMs() {
    return pollMs > 0 ? pollMs : live && unusable ? UNUSABLE_POLL_MS : 0;
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
        FileStamp last;
        synchronized (this) {
          last = lastStamp;
        }
        if (last == null || !last.equals(FileStamp.of(last.file))) {
          read();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits until the next check is due and returns true; returns false once the watcher is closed.
   */
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
