package slateslip.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RecoveryTest {
  private static final NodeAddress ADDRESS = NodeAddress.parse("10.0.0.1");
  private static final PrimaryTerm FIRST = new PrimaryTerm(1, 1);
  private static final PrimaryTerm SECOND = new PrimaryTerm(2, 1);

  /** Notes the first byte of each record applied. */
  private static final class Notes implements ReplicatedState {
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

  private final Notes notes = new Notes();
  private final ReplicaContext context =
      new ReplicaContext(new ReplicaSettings(ADDRESS, List.of(), false, 1, 1_000), notes, 1);

  private static byte[] record(int number) {
    return new byte[] {(byte) number};
  }

  private static StateTransfer from(long base, long committed, byte[]... records) {
    return new StateTransfer(base, false, new byte[0], List.of(records), committed);
  }

  private void replay(DurableRecord... later) {
    List<DurableRecord> records = new ArrayList<>();
    NodeId self = new NodeId(ADDRESS, 5);
    records.add(new DurableRecord.Snapshot(self, WitnessState.NONE, FIRST, from(0, 0)));
    records.addAll(List.of(later));
    Recovery.replay(records, context);
  }

  @Test
  void theLastRecordIsOpen() {
    replay(new DurableRecord.Entry(1, 0, record(1)), new DurableRecord.Entry(2, 1, record(2)));
    assertThat(notes.applied, contains(1));
    assertThat(context.store.lastSequence(), is(2L));
  }

  @Test
  void installationAfterUnrecordedCommitIsReplayed() {
    replay(
        new DurableRecord.Entry(1, 0, record(1)),
        new DurableRecord.Installation(SECOND, from(1, 1, record(2))),
        new DurableRecord.Entry(3, 2, record(3)));
    assertThat(notes.applied, contains(1, 2));
    assertThat(context.store.lastSequence(), is(3L));
    assertThat(context.store.installed(), is(SECOND));
  }

  @Test
  void newTermDropsUncommittedRecord() {
    replay(
        new DurableRecord.Entry(1, 0, record(1)),
        new DurableRecord.Installation(SECOND, from(0, 0, record(9))),
        new DurableRecord.Entry(2, 1, record(2)));
    assertThat(notes.applied, contains(9));
  }

  @Test
  void staleInstallationIsIgnored() {
    replay(
        new DurableRecord.Installation(SECOND, from(0, 0, record(1))),
        new DurableRecord.Entry(2, 1, record(2)));
    assertThat(context.store.install(FIRST, from(0, 0)), is(false));
    assertThat(context.store.install(SECOND, from(0, 0, record(1))), is(true));
    assertThat(context.store.lastSequence(), is(2L));
  }
}
