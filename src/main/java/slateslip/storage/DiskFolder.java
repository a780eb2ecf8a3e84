package slateslip.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** Storage folder in the file system of the operating system. */
public final class DiskFolder implements StorageFolder {
  private final Path path;

  /** Creates the storage for the folder at the given path, which must exist. */
  public DiskFolder(Path path) {
    this.path = path;
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files.map(file -> file.getFileName().toString()).toList();
    }
  }

  @Override
  public StorageFile open(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    return new DiskFile(channel);
  }

  @Override
  public void sync() throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record DiskFile(FileChannel channel) implements StorageFile {
    @Override
    public long length() throws IOException {
      return channel.size();
    }

    @Override
    public void read(long position, ByteBuffer into) throws IOException {
      long offset = position;
      while (into.hasRemaining()) {
        int count = channel.read(into, offset);
        if (count < 0) {
          return;
        }
        offset += count;
      }
    }

    @Override
    public void write(long position, ByteBuffer bytes) throws IOException {
      long offset = position;
      while (bytes.hasRemaining()) {
        offset += channel.write(bytes, offset);
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
