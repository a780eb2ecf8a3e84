package slateslip.scale;

/**
 * What one run showed.
 *
 * @param versions from the operator's call until a version is in force, all agents alive
 * @param afterKill the same for the first version after an agent was killed
 * @param agentCpuPercent of a core, the mean over the control agents, without changes
 * @param dataPlaneCpuPercent of a core, of this process for each data plane, the backends' calls
 *     included
 * @param bytesPerSecond received by a data plane without changes
 * @param heartbeats acknowledged in the same time
 * @param residentMb of the first control agent
 * @param load the machine's load averages
 */
record RunResult(
    RunSize size,
    Quantiles versions,
    Quantiles afterKill,
    double agentCpuPercent,
    double dataPlaneCpuPercent,
    double bytesPerSecond,
    long heartbeats,
    double residentMb,
    String load) {
  /** Its line in the output. */
  String line() {
    return String.format(
        "%d agents, %d data planes, %d backends: %d versions %s; after a kill %s;"
            + " steady: an agent %.1f %% of a core, a data plane %.2f %% and %.0f B/s, %d heartbeats;"
            + " an agent %.0f MB; load %s",
        size.agents(),
        size.dataPlanes(),
        size.backends(),
        size.changes(),
        versions.text(),
        afterKill.text(),
        agentCpuPercent,
        dataPlaneCpuPercent,
        bytesPerSecond,
        heartbeats,
        residentMb,
        load);
  }
}
