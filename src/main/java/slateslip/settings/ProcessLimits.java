package slateslip.settings;

/**
 * What a process may use ({@code limits.*}); 0 where the file says nothing.
 *
 * @param cpuQuota share of a core
 * @param cpuCores cores that the machine shows
 * @param memoryMegabytes above this the process is killed
 * @param maxFileDescriptors descriptors, sockets included
 * @param linkMegabitsPerSecond bandwidth of the machine's link
 * @param diskMegabytes size of the data directory
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
