package slateslip.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RecoveryTest {
  private static final NodeAddress ADDRESS = NodeAddress.parse("10.0.0.1");
  private static final PrimaryTerm FIRST_TERM = new PrimaryTerm(1, 1);
  private static final PrimaryTerm SECOND_TERM = new PrimaryTerm(2, 1);

  /** Replicated state that records the first byte of each applied record. */
  private static final class RecordingState implements ReplicatedState {
    final List<Integer> applied = new ArrayList<>();

    @Override
    public PreparedCommand prepare(byte[] command) {
      return new PreparedCommand.Change(command);
    }

    @Override
    public void apply(byte[] record) {
      applied.add((int) record[0]);
    }

    @Override
    public byte[] snapshot() {
      return new byte[0];
    }

    @Override
    public void restore(byte[] snapshot) {
      applied.clear();
    }
  }

  private final RecordingState state = new RecordingState();
  private final ReplicaContext context =
      new ReplicaContext(
          new ReplicaSettings(
              ADDRESS,
              NodeLocation.UNKNOWN,
              List.of(),
              false,
              FailureTolerance.ofMachines(1),
              1_000),
          state,
          1);

  private static byte[] record(int number) {
    return new byte[] {(byte) number};
  }

  private static StateTransfer transfer(long base, long committed, byte[]... records) {
    return new StateTransfer(base, false, new byte[0], List.of(records), committed);
  }

  private void replay(DurableRecord... later) {
    List<DurableRecord> records = new ArrayList<>();
    NodeId self = new NodeId(ADDRESS, 5);
    records.add(new DurableRecord.Snapshot(self, WitnessState.NONE, FIRST_TERM, transfer(0, 0)));
    records.addAll(List.of(later));
    Recovery.replay(records, context);
  }

  @Test
  void lastRecordIsReplayedAsPending() {
    replay(new DurableRecord.Entry(1, 0, record(1)), new DurableRecord.Entry(2, 1, record(2)));
    assertThat(state.applied, contains(1));
    assertThat(context.store.lastSequence(), is(2L));
  }

  @Test
  void installationAfterUnrecordedCommitIsReplayed() {
    replay(
        new DurableRecord.Entry(1, 0, record(1)),
        new DurableRecord.Installation(SECOND_TERM, transfer(1, 1, record(2))),
        new DurableRecord.Entry(3, 2, record(3)));
    assertThat(state.applied, contains(1, 2));
    assertThat(context.store.lastSequence(), is(3L));
    assertThat(context.store.installed(), is(SECOND_TERM));
  }

  @Test
  void newTermDropsUncommittedRecord() {
    replay(
        new DurableRecord.Entry(1, 0, record(1)),
        new DurableRecord.Installation(SECOND_TERM, transfer(0, 0, record(9))),
        new DurableRecord.Entry(2, 1, record(2)));
    assertThat(state.applied, contains(9));
  }

  @Test
  void staleInstallationIsIgnored() {
    replay(
        new DurableRecord.Installation(SECOND_TERM, transfer(0, 0, record(1))),
        new DurableRecord.Entry(2, 1, record(2)));
    assertThat(context.store.install(FIRST_TERM, transfer(0, 0)), is(false));
    assertThat(context.store.install(SECOND_TERM, transfer(0, 0, record(1))), is(true));
    assertThat(context.store.lastSequence(), is(2L));
  }
}
