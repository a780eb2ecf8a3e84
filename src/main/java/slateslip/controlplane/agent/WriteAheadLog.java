package slateslip.controlplane.agent;

import java.util.List;
import java.util.function.Consumer;
import slateslip.coordination.DurableRecord;

/** Stores the records of a control agent on disk. */
public interface WriteAheadLog {
  /**
   * Returns the records that were on disk when the log was opened, starting with the newest
   * snapshot.
   */
  List<DurableRecord> recovered();

  /** Starts to execute writes. */
  void start();

  /**
   * Queues a write; writes complete in the order of the calls.
   *
   * @param onComplete called on the event loop with whether the record is durable
   */
  void write(DurableRecord record, Consumer<Boolean> onComplete);
}
