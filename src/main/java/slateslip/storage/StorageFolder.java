package slateslip.storage;

import java.io.IOException;
import java.util.List;

/** The folder that contains the files of the ring. */
public interface StorageFolder {
  /** Returns the names of the files in the folder. */
  List<String> names() throws IOException;

  /** Opens a file for reading and writing, and creates the file if it does not exist. */
  StorageFile open(String name) throws IOException;

  /**
   * Forces the directory entries of all files created so far to the disk, so that the entries
   * survive a loss of power.
   */
  void sync() throws IOException;
}
