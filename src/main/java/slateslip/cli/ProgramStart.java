package slateslip.cli;

import java.nio.file.Path;
import slateslip.settings.NodeSettings;

/**
 * Starts a program; it returns when the program serves or has ended, and throws if it cannot start.
 */
@FunctionalInterface
public interface ProgramStart {
  /**
   * Starts the program.
   *
   * @param settingsFile where the settings were read from, for reading them again
   * @param settings valid ones
   */
  void start(Path settingsFile, NodeSettings settings) throws Exception;
}
