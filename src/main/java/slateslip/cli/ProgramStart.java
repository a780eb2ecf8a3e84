package slateslip.cli;

import java.nio.file.Path;
import slateslip.settings.NodeSettings;

/** Starts a program. */
@FunctionalInterface
public interface ProgramStart {
  /**
   * Starts the program and returns when the program serves requests or has ended.
   *
   * @param settingsFile file that the settings were read from, for reloading
   * @param settings valid settings
   * @throws Exception if the program cannot start
   */
  void start(Path settingsFile, NodeSettings settings) throws Exception;
}
