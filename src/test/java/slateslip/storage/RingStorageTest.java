package slateslip.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.simulation.FaultyFolder;

final class RingStorageTest {
  private static final RingOptions OPTIONS = new RingOptions(3, 0);
  private static final String FIRST_FILE = "control-0.ring";

  private final FaultyFolder folder = new FaultyFolder();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static List<String> recovered(StorageFolder from) throws IOException {
    try (RingStorage ring = RingStorage.open(from, OPTIONS)) {
      return ring.recovered().stream()
          .map(payload -> new String(payload, StandardCharsets.US_ASCII))
          .toList();
    }
  }

  private static StorageOutcome append(RingStorage ring, String text) {
    return ring.append(List.of(bytes(text)));
  }

  @Test
  void openRecoversNewestSnapshotAndLaterRecords() throws IOException {
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      assertThat(ring.recovered(), empty());
      for (int round = 0; round < 7; round++) {
        assertThat(ring.beginFile(bytes("s" + round)), is(StorageOutcome.DURABLE));
        assertThat(append(ring, "r" + round), is(StorageOutcome.DURABLE));
      }
      ring.append(List.of(bytes("a"), bytes("b")));
    }
    assertThat(recovered(folder), contains("s6", "r6", "a", "b"));
  }

  @Test
  void appendFailsBeforeFirstSnapshotAfterOpen() throws IOException {
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      assertThat(append(ring, "r"), is(StorageOutcome.FAILED));
      ring.beginFile(bytes("s"));
      append(ring, "r");
    }
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      assertThat(append(ring, "after a record that may be torn"), is(StorageOutcome.FAILED));
    }
    assertThat(recovered(folder), contains("s", "r"));
  }

  @Test
  void recoveryDropsLastRecordTruncatedOrCorruptedAtAnyByte() throws IOException {
    int before;
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      ring.beginFile(bytes("snapshot"));
      append(ring, "kept");
      before = folder.length(FIRST_FILE);
      append(ring, "last record");
    }
    for (int length = before; length < folder.length(FIRST_FILE); length++) {
      FaultyFolder truncated = folder.copy();
      truncated.truncate(FIRST_FILE, length);
      assertThat("truncated to " + length, recovered(truncated), contains("snapshot", "kept"));
      FaultyFolder corrupted = folder.copy();
      corrupted.corrupt(FIRST_FILE, length);
      assertThat("corrupted at " + length, recovered(corrupted), contains("snapshot", "kept"));
    }
  }

  @Test
  void corruptNewestSnapshotRecoversPrevious() throws IOException {
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      ring.beginFile(bytes("old"));
      append(ring, "r");
      ring.beginFile(bytes("new"));
    }
    for (int position = 0; position < folder.length("control-1.ring"); position++) {
      FaultyFolder corrupted = folder.copy();
      corrupted.corrupt("control-1.ring", position);
      assertThat("corrupted at " + position, recovered(corrupted), contains("old", "r"));
    }
  }

  @Test
  void recoveryIgnoresRecordsOfEarlierUseOfFile() throws IOException {
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      ring.beginFile(bytes("s0"));
      append(ring, "same length");
      append(ring, "left over");
      ring.beginFile(bytes("s1"));
      ring.beginFile(bytes("s2"));
      ring.beginFile(bytes("s3"));
    }
    assertThat(recovered(folder), contains("s3"));
  }

  @Test
  void diskFailureReturnsOutcomeAndKeepsDurable() throws IOException {
    try (RingStorage ring = RingStorage.open(folder, OPTIONS)) {
      ring.beginFile(bytes("s"));
      append(ring, "r");
      folder.setMode(FaultyFolder.Mode.FULL);
      assertThat(append(ring, "lost"), is(StorageOutcome.FULL));
      folder.setMode(FaultyFolder.Mode.WORKING);
      assertThat(append(ring, "after the failure"), is(StorageOutcome.FAILED));
      folder.setMode(FaultyFolder.Mode.FAILING);
      assertThat(ring.beginFile(bytes("t")), is(StorageOutcome.FAILED));
      assertThat(recovered(folder), contains("s", "r"));
      folder.setMode(FaultyFolder.Mode.WORKING);
      assertThat(ring.beginFile(bytes("u")), is(StorageOutcome.DURABLE));
    }
    assertThat(recovered(folder), contains("u"));
  }

  @Test
  void durableRecordsSurviveAnyLossOfPower() throws IOException {
    for (int seed = 0; seed < 2_000; seed++) {
      runPowerLossSchedule(new SplittableRandom(seed));
    }
  }

  /**
   * Performs random writes, failures and losses of power, and checks that recovery returns all
   * durable records in order.
   */
  private static void runPowerLossSchedule(SplittableRandom random) throws IOException {
    FaultyFolder disk = new FaultyFolder();
    List<String> durable = new ArrayList<>();
    List<String> written = new ArrayList<>();
    for (int incarnation = 0; incarnation < 4; incarnation++) {
      disk.setMode(FaultyFolder.Mode.WORKING);
      RingStorage ring = RingStorage.open(disk, OPTIONS);
      List<String> found = recovered(disk);
      checkRecovered(found, durable, written);
      durable = new ArrayList<>(found);
      for (int step = 0; step < 6; step++) {
        String text = "life " + incarnation + " step " + step;
        boolean snapshot = step == 0 || random.nextInt(3) == 0;
        disk.setMode(mode(random));
        StorageOutcome outcome =
            snapshot ? ring.beginFile(bytes(text)) : ring.append(List.of(bytes(text)));
        written.add(text);
        if (outcome == StorageOutcome.DURABLE) {
          if (snapshot) {
            durable.clear();
          }
          durable.add(text);
        }
      }
      disk.losePower(random, FaultyFolder.Loss.EACH_AT_RANDOM);
    }
  }

  private static FaultyFolder.Mode mode(SplittableRandom random) {
    FaultyFolder.Mode[] modes = FaultyFolder.Mode.values();
    return random.nextInt(4) > 0 ? FaultyFolder.Mode.WORKING : modes[random.nextInt(modes.length)];
  }

  private static void checkRecovered(
      List<String> found, List<String> durable, List<String> written) {
    if (durable.isEmpty()) {
      return;
    }
    boolean laterSnapshot = !found.isEmpty() && !found.get(0).equals(durable.get(0));
    if (laterSnapshot) {
      int last = written.lastIndexOf(durable.get(durable.size() - 1));
      assertThat(
          "a later snapshot that was not acknowledged",
          written.lastIndexOf(found.get(0)),
          greaterThanOrEqualTo(last));
      return;
    }
    assertThat(found.subList(0, durable.size()), equalTo(durable));
  }

  @Test
  void preallocationInChunksKeepsRecords(@TempDir Path path) throws IOException {
    RingOptions options = new RingOptions(2, 700_000);
    try (RingStorage ring = RingStorage.open(new DiskFolder(path), options)) {
      ring.beginFile(bytes("s"));
      int chunks = 0;
      while (ring.preallocateNext()) {
        assertThat(append(ring, "r" + chunks), is(StorageOutcome.DURABLE));
        chunks++;
      }
      assertThat(chunks, is(6));
    }
    assertThat(path.resolve(FIRST_FILE).toFile().length(), is(700_000L));
    assertThat(recovered(new DiskFolder(path)), contains("s", "r0", "r1", "r2", "r3", "r4", "r5"));
  }
}
