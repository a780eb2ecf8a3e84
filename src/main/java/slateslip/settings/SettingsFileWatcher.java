package slateslip.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Reads the settings file again when it has changed or on request. A file that is not usable
 * changes nothing.
 */
public final class SettingsFileWatcher {
  private static final Logger LOG = Logger.getLogger(SettingsFileWatcher.class);
  private static final long POLL_INTERVAL_MILLIS = 2_000;

  private final Path file;
  private final Consumer<NodeSettings> onChange;
  private FileTime modified;

  /**
   * A watch that does not look yet.
   *
   * @param onChange receives new settings, on any thread
   */
  public SettingsFileWatcher(Path file, Consumer<NodeSettings> onChange) {
    this.file = file;
    this.onChange = onChange;
    this.modified = modifiedTime();
  }

  /** Looks at the file every now and then, on a thread of its own. */
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

  /** Reads the file if it has another time than before. */
  public synchronized void reloadIfModified() {
    FileTime now = modifiedTime();
    if (now != null && !now.equals(modified)) {
      reload();
    }
  }

  /** Reads the file. */
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
