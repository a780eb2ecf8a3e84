package slateslip.controlplane.agent;

import java.util.List;
import java.util.function.Consumer;
import slateslip.coordination.DurableRecord;

/** The records that a control agent keeps on disk. */
public interface WriteAheadLog {
  /** What was on disk when it was opened, from the newest snapshot on. */
  List<DurableRecord> recovered();

  /** Takes writes from now on. */
  void start();

  /**
   * Starts a write; writes complete in the order of the calls.
   *
   * @param done called on the event loop with whether the record is durable
   */
  void write(DurableRecord record, Consumer<Boolean> done);
}
