package slateslip.dataplane;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import slateslip.cli.CommandLine;
import slateslip.cli.Program;
import slateslip.settings.NodeSettings;
import slateslip.settings.ReloadSignal;
import slateslip.settings.SettingsFileWatcher;

/** Entry point of the data plane binary. */
public final class DataPlaneMain {
  private DataPlaneMain() {}

  /**
   * Starts the data plane, which runs until SIGTERM, or carries out a command of the command line.
   */
  public static void main(String[] arguments) {
    CommandLine.main(Program.DATA_PLANE, DataPlaneMain::run, arguments);
  }

  private static void run(Path file, NodeSettings settings) throws IOException {
    if (settings.frontListen() == null || settings.readyListen() == null) {
      throw new IOException("the data plane needs the settings listen.front and listen.ready");
    }
    ReloadSignal reloadSignal = new ReloadSignal();
    CompletableFuture<DataPlane> started = new CompletableFuture<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(started)));
    DataPlane dataPlane = start(settings, started);
    SettingsFileWatcher watcher = new SettingsFileWatcher(file, dataPlane::settingsChanged);
    reloadSignal.start(watcher::reload);
    watcher.start();
    dataPlane.awaitTermination();
  }

  private static DataPlane start(NodeSettings settings, CompletableFuture<DataPlane> started)
      throws IOException {
    try {
      started.complete(DataPlane.start(settings));
      return started.join();
    } finally {
      started.completeExceptionally(new IllegalStateException("the data plane has not started"));
    }
  }

  /**
   * Shuts the data plane down gracefully. A start in progress is awaited, because the data plane
   * may have read requests already. After a failed start there is nothing to shut down, and the
   * exit status reports the failure.
   */
  private static void shutDown(CompletableFuture<DataPlane> started) {
    DataPlane dataPlane = started.handle((running, failure) -> running).join();
    if (dataPlane == null) {
      return;
    }
    dataPlane.stop();
    Logger.getLogger(DataPlaneMain.class).info("shutdown complete");
    Runtime.getRuntime().halt(0);
  }
}
