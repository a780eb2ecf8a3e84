package slateslip.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsOutcome;

/** Entry point of the control plane binary. */
public final class ControlPlaneMain {
  private static final String SETTINGS_VARIABLE = "SLATESLIP_CONFIG";
  private static final int FAILURE = 1;

  private ControlPlaneMain() {}

  /** Starts the control plane; it ends with SIGTERM. */
  public static void main(String[] arguments) {
    String path = System.getenv(SETTINGS_VARIABLE);
    if (path == null) {
      fail(SETTINGS_VARIABLE + " is not set");
      return;
    }
    SettingsOutcome outcome = NodeSettings.load(Path.of(path));
    if (outcome instanceof SettingsOutcome.Valid valid) {
      run(valid.settings());
    } else if (outcome instanceof SettingsOutcome.Invalid invalid) {
      fail(invalid.message());
    }
  }

  private static void run(NodeSettings settings) {
    if (settings.controlListen() == null || settings.dataDirectory() == null) {
      fail("listen.control and data_dir are needed by the control plane");
      return;
    }
    try {
      ControlPlane.start(settings);
    } catch (IOException | RuntimeException failed) {
      failed.printStackTrace();
      fail(failed.getMessage());
    }
  }

  private static void fail(String message) {
    System.err.println("slateslip-controlplane: " + message);
    System.exit(FAILURE);
  }
}
