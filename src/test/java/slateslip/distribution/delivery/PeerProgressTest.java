package slateslip.distribution.delivery;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Checks that the report of a peer counts only for the process that sent it and the term in which
 * it was received.
 */
class PeerProgressTest {
  private static final String PEER = "10.2.0.1";
  private static final long EPOCH = 4;

  private final PeerProgress progress = new PeerProgress();

  @Test
  void peerWithoutReportIsNotDelivered() {
    assertThat(progress.isDelivered(PEER, EPOCH, 1), is(false));
    progress.peerStarted(PEER, 7);
    progress.recordReport(PEER, 7, EPOCH, DeliveryProgress.NO_SUBSCRIBERS, 0);
    assertThat(progress.isDelivered(PEER, EPOCH, 9), is(true));
  }

  @Test
  void reportOfEarlierProcessIsIgnored() {
    progress.peerStarted(PEER, 7);
    progress.recordReport(PEER, 7, EPOCH, DeliveryProgress.NO_SUBSCRIBERS, 0);
    progress.peerStarted(PEER, 8);
    assertThat(progress.isDelivered(PEER, EPOCH, 1), is(false));
    progress.recordReport(PEER, 7, EPOCH, DeliveryProgress.NO_SUBSCRIBERS, 0);
    assertThat(progress.isDelivered(PEER, EPOCH, 1), is(false));
    progress.recordReport(PEER, 8, EPOCH, 3, 0);
    assertThat(progress.isDelivered(PEER, EPOCH, 3), is(true));
    assertThat(progress.isDelivered(PEER, EPOCH, 4), is(false));
  }

  @Test
  void reportFromEarlierEpochIsIgnored() {
    progress.peerStarted(PEER, 7);
    progress.recordReport(PEER, 7, EPOCH, DeliveryProgress.NO_SUBSCRIBERS, 0);
    assertThat(progress.isDelivered(PEER, EPOCH + 1, 1), is(false));
  }

  @Test
  void reconnectOfSameProcessKeepsReport() {
    progress.peerStarted(PEER, 7);
    progress.recordReport(PEER, 7, EPOCH, 5, 0);
    progress.peerStarted(PEER, 7);
    assertThat(progress.isDelivered(PEER, EPOCH, 5), is(true));
  }
}
