package slateslip.distribution.peer;

import java.util.List;

/**
 * The replicated configuration state, complete.
 *
 * @param changes the newest committed changes, oldest first
 * @param document the newest configuration as JSON; empty if there is none
 */
public record ConfigurationStateSnapshot(List<CommittedChange> changes, byte[] document) {
  /**
   * What is kept of a committed change, to know it again.
   *
   * @param baseVersion version that it built on
   * @param version that it made
   * @param digestHigh first half of its digest
   * @param digestLow second half of its digest
   */
  public record CommittedChange(long baseVersion, long version, long digestHigh, long digestLow) {}
}
