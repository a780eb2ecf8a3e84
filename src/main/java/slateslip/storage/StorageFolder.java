package slateslip.storage;

import java.io.IOException;
import java.util.List;

/** The folder of the ring. */
public interface StorageFolder {
  /** Names of the files in it. */
  List<String> names() throws IOException;

  /** Opens a file for reading and writing and creates it if it is missing. */
  StorageFile open(String name) throws IOException;

  /** Returns once names created so far last through a loss of power. */
  void sync() throws IOException;
}
