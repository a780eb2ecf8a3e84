package slateslip.simulation.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import slateslip.coordination.PreparedCommand;
import slateslip.coordination.ReplicatedState;

/**
 * A replicated application that behaves like the operator's configuration: each change names its
 * base version, and a change that is sent again after it was applied is accepted again.
 */
final class ReferenceState implements ReplicatedState {
  /** The response to a command that produces no record. */
  enum Response {
    ALREADY_APPLIED,
    VERSION_MISMATCH
  }

  /**
   * A change of the state.
   *
   * @param base the version on which the change is based
   * @param version the version after the change
   * @param author the number of the sender
   */
  record Change(long base, long version, int author) {
    byte[] encode() {
      return ByteBuffer.allocate(CHANGE_BYTES)
          .putLong(base)
          .putLong(version)
          .putInt(author)
          .array();
    }

    static Change decode(byte[] bytes) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      return new Change(buffer.getLong(), buffer.getLong(), buffer.getInt());
    }
  }

  private static final int CHANGE_BYTES = 20;

  private final CheckedHistory history;
  private final List<Change> changes = new ArrayList<>();

  ReferenceState(CheckedHistory history) {
    this.history = history;
  }

  long version() {
    return changes.isEmpty() ? 0 : changes.get(changes.size() - 1).version();
  }

  List<Change> changes() {
    return changes;
  }

  @Override
  public PreparedCommand prepare(byte[] command) {
    Change change = Change.decode(command);
    if (changes.contains(change)) {
      return respond(Response.ALREADY_APPLIED);
    }
    if (change.base() != version()) {
      return respond(Response.VERSION_MISMATCH);
    }
    return new PreparedCommand.Change(command);
  }

  private static PreparedCommand respond(Response response) {
    return new PreparedCommand.Response(response.name().getBytes(StandardCharsets.US_ASCII));
  }

  static Response decodeResponse(byte[] bytes) {
    return Response.valueOf(new String(bytes, StandardCharsets.US_ASCII));
  }

  @Override
  public void apply(byte[] record) {
    Change change = Change.decode(record);
    history.applied(changes.size(), version(), change);
    changes.add(change);
  }

  @Override
  public byte[] snapshot() {
    ByteBuffer buffer = ByteBuffer.allocate(CHANGE_BYTES * changes.size());
    changes.forEach(change -> buffer.put(change.encode()));
    return buffer.array();
  }

  @Override
  public void restore(byte[] snapshot) {
    ByteBuffer buffer = ByteBuffer.wrap(snapshot);
    changes.clear();
    while (buffer.hasRemaining()) {
      byte[] record = new byte[CHANGE_BYTES];
      buffer.get(record);
      apply(record);
    }
  }
}
