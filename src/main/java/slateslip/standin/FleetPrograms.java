package slateslip.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Starts the two programs of a local fleet. The first process of each program can get additional
 * JVM options, because this process is the one that is measured or that writes a class archive.
 *
 * @param jars folder with the jars of both programs
 * @param controlPlaneOptions additional JVM options of the first control agent
 * @param dataPlaneOptions additional JVM options of the first data plane
 */
record FleetPrograms(Path jars, List<String> controlPlaneOptions, List<String> dataPlaneOptions) {
  private static final String CONTROL_PLANE_JAR = "slateslip-controlplane.jar";
  private static final String DATA_PLANE_JAR = "slateslip-dataplane.jar";

  ChildProcess startControlAgent(int index, Path settings) throws IOException {
    return start(CONTROL_PLANE_JAR, settings, index == 0 ? controlPlaneOptions : List.of());
  }

  ChildProcess startDataPlane(int index, Path settings) throws IOException {
    return start(DATA_PLANE_JAR, settings, index == 0 ? dataPlaneOptions : List.of());
  }

  private ChildProcess start(String jar, Path settings, List<String> options) throws IOException {
    return ChildProcess.start(jars.resolve(jar), settings, options);
  }
}
