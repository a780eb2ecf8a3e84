package slateslip.dataplane;

import java.io.IOException;
import java.nio.file.Path;
import org.jboss.logging.Logger;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;
import slateslip.settings.SettingsWatch;
import sun.misc.Signal;

/** Entry point of the data plane binary. */
public final class DataPlaneMain {
  private static final Logger LOG = Logger.getLogger(DataPlaneMain.class);
  private static final String SETTINGS_VARIABLE = "SLATESLIP_CONFIG";
  private static final int FAILURE = 1;

  private DataPlaneMain() {}

  /** Starts the data plane; it ends with SIGTERM. */
  public static void main(String[] arguments) {
    String path = System.getenv(SETTINGS_VARIABLE);
    if (path == null) {
      System.err.println("slateslip-dataplane: " + SETTINGS_VARIABLE + " is not set");
      System.exit(FAILURE);
    }
    Path file = Path.of(path);
    SettingsOutcome outcome = NodeSettings.load(file);
    if (outcome instanceof SettingsOutcome.Invalid invalid) {
      System.err.println("slateslip-dataplane: " + invalid.message());
      System.exit(FAILURE);
    } else if (outcome instanceof SettingsOutcome.Valid valid) {
      run(file, valid.settings());
    }
  }

  private static void run(Path file, NodeSettings settings) {
    DataPlane dataPlane = null;
    try {
      dataPlane = DataPlane.start(settings);
    } catch (IOException failed) {
      System.err.println("slateslip-dataplane: " + failed.getMessage());
      System.exit(FAILURE);
    }
    SettingsWatch watch = new SettingsWatch(file, dataPlane::settingsChanged);
    Signal.handle(new Signal("HUP"), signal -> watch.read());
    watch.start();
    DataPlane running = dataPlane;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> end(running)));
    dataPlane.awaitEnd();
  }

  private static void end(DataPlane dataPlane) {
    dataPlane.stop();
    LOG.info("ended");
    Runtime.getRuntime().halt(0);
  }
}
