package slateslip.simulation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import slateslip.storage.StorageFile;
import slateslip.storage.StorageFolder;

/** A folder in memory that can refuse writes, and whose unsynced writes a loss of power harms. */
public final class FaultyFolder implements StorageFolder {
  /** What a write or sync does. */
  public enum Mode {
    /** Works. */
    WORKING,
    /** Each write is refused for want of space. */
    FULL,
    /** Writes reach the file, syncs fail. */
    SYNC_FAILS,
    /** Writes and syncs fail. */
    FAILING
  }

  /** What becomes of the writes after the last sync when power is lost. */
  public enum Loss {
    /** All are gone. */
    ALL_GONE,
    /** Each is present, missing or torn. */
    EACH_AT_RANDOM
  }

  private static final int OUTCOMES = 3;

  private record UnsyncedWrite(int position, byte[] bytes) {}

  private static final class Content {
    byte[] durable = new byte[0];
    byte[] current = new byte[0];
    boolean lasts;
    final List<UnsyncedWrite> unsynced = new ArrayList<>();
  }

  private final Map<String, Content> contents = new TreeMap<>();
  private Mode mode = Mode.WORKING;

  /** Sets what writes and syncs do from now on. */
  public void setMode(Mode newMode) {
    mode = newMode;
  }

  /** Empties the folder, as a new disk is. */
  public void wipe() {
    contents.clear();
  }

  /** Loses power. */
  public void losePower(SplittableRandom random, Loss loss) {
    contents.values().removeIf(content -> !content.lasts && random.nextBoolean());
    for (Content content : contents.values()) {
      byte[] left = content.durable.clone();
      if (loss == Loss.EACH_AT_RANDOM) {
        for (UnsyncedWrite write : content.unsynced) {
          left = harmed(left, write, random);
        }
      }
      content.durable = left;
      content.current = left.clone();
      content.unsynced.clear();
      content.lasts = true;
    }
  }

  private static byte[] harmed(byte[] image, UnsyncedWrite write, SplittableRandom random) {
    int outcome = random.nextInt(OUTCOMES);
    if (outcome == 0 || write.bytes().length == 0) {
      return image;
    }
    int first = 0;
    int last = write.bytes().length;
    if (outcome == 1) {
      first = random.nextBoolean() ? 0 : random.nextInt(last);
      last = first + random.nextInt(last - first + 1);
    }
    return overwritten(image, write.position() + first, write.bytes(), first, last);
  }

  private static byte[] overwritten(byte[] image, int position, byte[] bytes, int first, int last) {
    int end = position + last - first;
    byte[] result = Arrays.copyOf(image, Math.max(image.length, end));
    System.arraycopy(bytes, first, result, position, last - first);
    return result;
  }

  /** Cuts a file, as if it had never been longer. */
  public void truncate(String name, int length) {
    Content content = contents.get(name);
    content.current = Arrays.copyOf(content.current, length);
    content.durable = content.current.clone();
    content.unsynced.clear();
  }

  /** Changes one byte of a file. */
  public void corrupt(String name, int position) {
    Content content = contents.get(name);
    content.current[position] ^= 0x55;
    content.durable = content.current.clone();
  }

  /** Length of a file. */
  public int length(String name) {
    return contents.get(name).current.length;
  }

  /** A copy of the folder as it is now. */
  public FaultyFolder copy() {
    FaultyFolder copy = new FaultyFolder();
    contents.forEach(
        (name, content) -> {
          Content other = new Content();
          other.durable = content.durable.clone();
          other.current = content.current.clone();
          other.lasts = content.lasts;
          other.unsynced.addAll(content.unsynced);
          copy.contents.put(name, other);
        });
    return copy;
  }

  @Override
  public List<String> names() {
    return List.copyOf(contents.keySet());
  }

  @Override
  public StorageFile open(String name) {
    return new OpenFile(contents.computeIfAbsent(name, ignored -> new Content()));
  }

  @Override
  public void sync() throws IOException {
    if (mode != Mode.WORKING) {
      throw new IOException("sync of the folder failed");
    }
    contents.values().forEach(content -> content.lasts = true);
  }

  private final class OpenFile implements StorageFile {
    private final Content content;

    OpenFile(Content content) {
      this.content = content;
    }

    @Override
    public long length() {
      return content.current.length;
    }

    @Override
    public void read(long position, ByteBuffer into) {
      int left = (int) Math.max(0, content.current.length - position);
      int count = Math.min(left, into.remaining());
      if (count > 0) {
        into.put(content.current, (int) position, count);
      }
    }

    @Override
    public void write(long position, ByteBuffer bytes) throws IOException {
      if (mode == Mode.FULL) {
        throw new IOException("No space left on device");
      }
      if (mode == Mode.FAILING) {
        throw new IOException("Input/output error");
      }
      byte[] written = new byte[bytes.remaining()];
      bytes.get(written);
      content.current = overwritten(content.current, (int) position, written, 0, written.length);
      content.unsynced.add(new UnsyncedWrite((int) position, written));
    }

    @Override
    public void sync() throws IOException {
      if (mode != Mode.WORKING) {
        throw new IOException("Input/output error");
      }
      content.durable = content.current.clone();
      content.unsynced.clear();
      content.lasts = true;
    }

    @Override
    public void close() {}
  }
}
