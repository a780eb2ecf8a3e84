package slateslip.settings;

/**
 * Resource limits of a process ({@code limits.*}). A limit that the settings file does not give is
 * 0.
 *
 * @param cpuQuota processor time that the process may use, in cores
 * @param cpuCores number of cores that are visible on the machine
 * @param memoryMegabytes memory limit; a process that exceeds the limit is killed
 * @param maxFileDescriptors maximum number of open file descriptors, including sockets
 * @param linkMegabitsPerSecond bandwidth of the network link of the machine
 * @param diskMegabytes maximum size of the data directory
 */
public record ProcessLimits(
    double cpuQuota,
    int cpuCores,
    int memoryMegabytes,
    int maxFileDescriptors,
    double linkMegabitsPerSecond,
    int diskMegabytes) {

  static ProcessLimits read(KeyReader keys) {
    return new ProcessLimits(
        keys.number("limits.cpu_quota", 0),
        keys.integer("limits.cpu_cores", 0),
        keys.integer("limits.memory_mb", 0),
        keys.integer("limits.max_fds", 0),
        keys.number("limits.link_mbps", 0),
        keys.integer("limits.disk_mb", 0));
  }
}
