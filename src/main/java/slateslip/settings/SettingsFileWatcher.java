package slateslip.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Reloads the settings file when its modification time changes or on request. If the file is
 * invalid, the watcher logs the errors and the previous settings stay in effect.
 */
public final class SettingsFileWatcher {
  private static final Logger LOG = Logger.getLogger(SettingsFileWatcher.class);
  private static final long POLL_INTERVAL_MILLIS = 2_000;

  private final Path file;
  private final Consumer<NodeSettings> onChange;
  private FileTime modified;

  /**
   * Creates a watcher that does not poll the file until {@link #start}.
   *
   * @param onChange receives new valid settings, on the polling thread or on the thread that
   *     requests a reload
   */
  public SettingsFileWatcher(Path file, Consumer<NodeSettings> onChange) {
    this.file = file;
    this.onChange = onChange;
    this.modified = modifiedTime();
  }

  /** Starts a daemon thread that polls the modification time of the file. */
  public void start() {
    Thread thread = new Thread(this::pollUntilInterrupted, "settings");
    thread.setDaemon(true);
    thread.start();
  }

  private void pollUntilInterrupted() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        reloadIfModified();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reloads the file if its modification time has changed since the last load. */
  public synchronized void reloadIfModified() {
    FileTime now = modifiedTime();
    if (now != null && !now.equals(modified)) {
      reload();
    }
  }

  /** Reloads the file. */
  public synchronized void reload() {
    modified = modifiedTime();
    SettingsOutcome outcome = NodeSettings.load(file);
    if (outcome instanceof SettingsOutcome.Valid valid) {
      onChange.accept(valid.settings());
    } else if (outcome instanceof SettingsOutcome.Invalid invalid) {
      LOG.warnf("settings not taken over: %s", invalid.message());
    }
  }

  private FileTime modifiedTime() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException unreadable) {
      return null;
    }
  }
}
