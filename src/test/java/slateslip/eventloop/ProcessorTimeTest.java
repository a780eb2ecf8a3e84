package slateslip.eventloop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateslip.eventloop.ProcessorTime.ThreadKind;

/**
 * Tests the calculation of CPU time by kind of thread from files in the format of the kernel's
 * {@code /proc} folder.
 */
class ProcessorTimeTest {
  @TempDir private Path process;

  @Test
  void readSumsTimeOfThreadsOfSameKind() throws IOException {
    writeThread(1, "java", 5_000);
    writeThread(2, "multiThreadIoEv", 700);
    writeThread(3, "multiThreadIoEv", 300);
    writeThread(4, "C1 CompilerThre", 40);
    writeThread(5, "VM Thread", 2);
    writeThread(6, "settings-file", 1);
    ProcessorTime time = ProcessorTime.read(process);
    assertThat(time.of(ThreadKind.MAIN), is(Duration.ofNanos(5_000)));
    assertThat(time.of(ThreadKind.EVENT_LOOP), is(Duration.ofNanos(1_000)));
    assertThat(time.of(ThreadKind.COMPILER), is(Duration.ofNanos(40)));
    assertThat(time.of(ThreadKind.VIRTUAL_MACHINE), is(Duration.ofNanos(2)));
    assertThat(time.of(ThreadKind.OTHER), is(Duration.ofNanos(1)));
    assertThat(time.total(), is(Duration.ofNanos(6_043)));
  }

  @Test
  void readIgnoresEndedThreadAndMissingFolder() throws IOException {
    writeThread(1, "java", 5_000);
    Files.createDirectory(process.resolve("task").resolve("2"));
    assertThat(ProcessorTime.read(process).total(), is(Duration.ofNanos(5_000)));
    assertThat(ProcessorTime.read(process.resolve("none")).byKind(), is(anEmptyMap()));
  }

  @Test
  void sinceReturnsDifferenceByKind() throws IOException {
    writeThread(1, "java", 5_000);
    ProcessorTime before = ProcessorTime.read(process);
    writeThread(1, "java", 5_500);
    writeThread(2, "C1 CompilerThre", 40);
    ProcessorTime used = ProcessorTime.read(process).since(before);
    assertThat(used.of(ThreadKind.MAIN), is(Duration.ofNanos(500)));
    assertThat(used.of(ThreadKind.COMPILER), is(Duration.ofNanos(40)));
  }

  @Test
  void timeOfEndedThreadsIsProcessTotalWithoutRunningThreads() throws IOException {
    writeThread(1, "java", 30_000_000);
    writeStat(3, 4);
    ProcessorTime time = ProcessorTime.read(process);
    assertThat(time.of(ThreadKind.ENDED), is(Duration.ofMillis(40)));
    assertThat(time.total(), is(Duration.ofMillis(70)));
  }

  @Test
  void timeOfEndedThreadsIsZeroIfProcessTotalIsBelowSumOfThreads() throws IOException {
    writeThread(1, "java", 35_000_000);
    writeStat(2, 1);
    assertThat(ProcessorTime.read(process).of(ThreadKind.ENDED), is(Duration.ZERO));
  }

  private void writeStat(long userTicks, long systemTicks) throws IOException {
    Files.writeString(
        process.resolve("stat"),
        "7 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 " + userTicks + " " + systemTicks + " 0 0\n");
  }

  private void writeThread(int id, String name, long nanos) throws IOException {
    Path folder = Files.createDirectories(process.resolve("task").resolve(String.valueOf(id)));
    Files.writeString(folder.resolve("comm"), name + "\n");
    Files.writeString(folder.resolve("schedstat"), nanos + " 123 7\n");
  }
}
