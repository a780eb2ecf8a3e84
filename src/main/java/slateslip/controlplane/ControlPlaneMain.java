package slateslip.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import slateslip.cli.CommandLine;
import slateslip.cli.Program;
import slateslip.settings.NodeSettings;
import slateslip.settings.ReloadSignal;
import slateslip.settings.SettingsFileWatcher;
import sun.misc.Signal;

/** Entry point of the control plane program. */
public final class ControlPlaneMain {
  /**
   * Limits the time of a graceful shutdown. Copying the state to another member takes less time,
   * even on a slow disk.
   */
  private static final long MAX_SHUTDOWN_MILLIS = 3_000;

  private ControlPlaneMain() {}

  /**
   * Starts the control plane, which runs until SIGTERM, or executes a command of the command line.
   */
  public static void main(String[] arguments) {
    CommandLine.main(Program.CONTROL_PLANE, ControlPlaneMain::start, arguments);
  }

  /**
   * Ends the process within the grace period, as soon as the control state no longer needs this
   * agent's copy.
   */
  private static void shutDownGracefully(ControlPlane controlPlane, NodeSettings settings) {
    long graceMillis = settings.bounds().gracePeriodMillis();
    long timeoutMillis = Math.min(MAX_SHUTDOWN_MILLIS, graceMillis / 2);
    controlPlane.shutDownGracefully(timeoutMillis, () -> System.exit(0));
  }

  private static void start(Path settingsFile, NodeSettings settings) throws IOException {
    if (settings.controlListen() == null || settings.dataDirectory() == null) {
      throw new IOException("listen.control and data_dir are needed by the control plane");
    }
    ReloadSignal reloadSignal = new ReloadSignal();
    ControlPlane controlPlane = ControlPlane.start(settings);
    SettingsFileWatcher watcher =
        new SettingsFileWatcher(settingsFile, controlPlane::settingsChanged);
    reloadSignal.start(watcher::reload);
    Signal.handle(new Signal("TERM"), signal -> shutDownGracefully(controlPlane, settings));
    watcher.start();
  }
}
