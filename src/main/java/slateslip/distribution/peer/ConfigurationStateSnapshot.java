package slateslip.distribution.peer;

import java.util.List;

/**
 * A complete snapshot of the replicated configuration state.
 *
 * @param changes newest committed changes, oldest first
 * @param document newest configuration as JSON; empty if there is none
 */
public record ConfigurationStateSnapshot(List<CommittedChange> changes, byte[] document) {
  /**
   * Identifies a committed change, so that a repeated request for the same change is recognized.
   *
   * @param baseVersion version of the configuration to which the change was applied
   * @param version version that the change produced
   * @param digestHigh first half of the digest of the request
   * @param digestLow second half of the digest of the request
   */
  public record CommittedChange(long baseVersion, long version, long digestHigh, long digestLow) {}
}
