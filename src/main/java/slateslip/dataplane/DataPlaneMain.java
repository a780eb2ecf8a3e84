package slateslip.dataplane;

import java.io.IOException;
import java.nio.file.Path;
import org.jboss.logging.Logger;
import slateslip.cli.CommandLine;
import slateslip.cli.Program;
import slateslip.settings.NodeSettings;
import slateslip.settings.SettingsFileWatcher;
import sun.misc.Signal;

/** Entry point of the data plane binary. */
public final class DataPlaneMain {
  private DataPlaneMain() {}

  /** Starts the data plane, which ends with SIGTERM, or carries out a command. */
  public static void main(String[] arguments) {
    CommandLine.main(Program.DATA_PLANE, DataPlaneMain::run, arguments);
  }

  private static void run(Path file, NodeSettings settings) throws IOException {
    if (settings.frontListen() == null || settings.readyListen() == null) {
      throw new IOException("listen.front and listen.ready are needed by the data plane");
    }
    DataPlane dataPlane = DataPlane.start(settings);
    SettingsFileWatcher watcher = new SettingsFileWatcher(file, dataPlane::settingsChanged);
    Signal.handle(new Signal("HUP"), signal -> watcher.reload());
    watcher.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> end(dataPlane)));
    dataPlane.awaitEnd();
  }

  private static void end(DataPlane dataPlane) {
    dataPlane.stop();
    Logger.getLogger(DataPlaneMain.class).info("ended");
    Runtime.getRuntime().halt(0);
  }
}
