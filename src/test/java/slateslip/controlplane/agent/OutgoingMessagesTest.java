package slateslip.controlplane.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.controlplane.agent.OutgoingMessages.Outgoing;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.protocol.distribution.DistributionCodec;

/** Tests for how long data planes share one encoded message. */
final class OutgoingMessagesTest {
  private static final long SECOND = 1_000_000;

  private final DistributionCodec codec = new DistributionCodec();
  private long nowMicros = 1;
  private final OutgoingMessages messages = new OutgoingMessages(codec, () -> nowMicros);

  private static ControlPlaneMessage table(long remainingWarmupMillis) {
    BackendSession session =
        new BackendSession(
            "i-1", "s", "10.1.0.9:80", "z", "v1", 8, false, remainingWarmupMillis, 1);
    return new ControlPlaneMessage.SessionSnapshot(7, true, List.of(session));
  }

  /**
   * Guards against a data plane that starts later and treats a warm backend as one that has just
   * started: a renewal changes the remaining warm-up without a new revision.
   */
  @Test
  void laterDataPlaneReceivesCurrentWarmUpOfUnchangedRevision() {
    messages.of(table(20_000));
    nowMicros += 60 * SECOND;
    Outgoing later = messages.of(table(0));
    assertThat(later, is(instanceOf(Outgoing.Whole.class)));
    assertThat(((Outgoing.Whole) later).encoded(), equalTo(codec.encode(table(0))));
  }

  @Test
  void dataPlanesThatConnectTogetherShareOneTable() {
    Outgoing first = messages.of(table(20_000));
    nowMicros += SECOND - 1;
    assertThat(messages.of(table(19_000)), is(sameInstance(first)));
  }

  @Test
  void committedConfigurationIsSharedWithoutTimeLimit() {
    byte[] document = new byte[100_000];
    Outgoing first = messages.of(new ControlPlaneMessage.ConfigurationSnapshot(4, document));
    nowMicros += 3_600 * SECOND;
    Outgoing later = messages.of(new ControlPlaneMessage.ConfigurationSnapshot(4, document));
    assertThat(first, is(instanceOf(Outgoing.Segmented.class)));
    assertThat(later, is(sameInstance(first)));
    Outgoing next = messages.of(new ControlPlaneMessage.ConfigurationSnapshot(5, document));
    assertThat(next, is(not(sameInstance(first))));
  }
}
