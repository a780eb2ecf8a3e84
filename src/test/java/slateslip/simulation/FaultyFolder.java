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

/**
 * An in-memory folder that can fail writes and syncs and that can lose or tear unsynced writes at a
 * power failure.
 */
public final class FaultyFolder implements StorageFolder {
  /** The behaviour of writes and syncs. */
  public enum Mode {
    /** Writes and syncs succeed. */
    WORKING,
    /** Each write fails because no space is left, and syncs fail. */
    FULL,
    /** Writes succeed, but syncs fail. */
    SYNC_FAILS,
    /** Writes fail with an input/output error, and syncs fail. */
    FAILING
  }

  /** The effect of a power failure on the writes after the last sync. */
  public enum Loss {
    /** All unsynced writes are lost. */
    ALL_GONE,
    /** Each unsynced write is at random complete, lost or torn. */
    EACH_AT_RANDOM
  }

  private static final int OUTCOMES = 3;

  private record UnsyncedWrite(int position, byte[] bytes) {}

  private static final class Content {
    byte[] durable = new byte[0];
    byte[] current = new byte[0];
    boolean creationDurable;
    final List<UnsyncedWrite> unsynced = new ArrayList<>();
  }

  private final Map<String, Content> contents = new TreeMap<>();
  private Mode mode = Mode.WORKING;

  /** Sets the behaviour of writes and syncs from now on. */
  public void setMode(Mode newMode) {
    mode = newMode;
  }

  /** Deletes all files, as if the disk were replaced. */
  public void wipe() {
    contents.clear();
  }

  /**
   * Simulates a power failure with the given effect on unsynced writes; new files whose creation
   * was not synced may vanish.
   */
  public void losePower(SplittableRandom random, Loss loss) {
    contents.values().removeIf(content -> !content.creationDurable && random.nextBoolean());
    for (Content content : contents.values()) {
      byte[] left = content.durable.clone();
      if (loss == Loss.EACH_AT_RANDOM) {
        for (UnsyncedWrite write : content.unsynced) {
          left = afterPowerFailure(left, write, random);
        }
      }
      content.durable = left;
      content.current = left.clone();
      content.unsynced.clear();
      content.creationDurable = true;
    }
  }

  private static byte[] afterPowerFailure(
      byte[] image, UnsyncedWrite write, SplittableRandom random) {
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

  /** Truncates a file durably to a length in bytes. */
  public void truncate(String name, int length) {
    Content content = contents.get(name);
    content.current = Arrays.copyOf(content.current, length);
    content.durable = content.current.clone();
    content.unsynced.clear();
  }

  /** Corrupts one byte of a file durably. */
  public void corrupt(String name, int position) {
    Content content = contents.get(name);
    content.current[position] ^= 0x55;
    content.durable = content.current.clone();
  }

  /** Returns the length of a file in bytes. */
  public int length(String name) {
    return contents.get(name).current.length;
  }

  /** Returns a copy of the folder with its current contents. */
  public FaultyFolder copy() {
    FaultyFolder copy = new FaultyFolder();
    contents.forEach(
        (name, content) -> {
          Content other = new Content();
          other.durable = content.durable.clone();
          other.current = content.current.clone();
          other.creationDurable = content.creationDurable;
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
    contents.values().forEach(content -> content.creationDurable = true);
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
      content.creationDurable = true;
    }

    @Override
    public void close() {}
  }
}
