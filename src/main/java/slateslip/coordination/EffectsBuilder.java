package slateslip.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects the effects of an input. Messages from the node to itself are queued separately; the
 * replica handles these messages as part of the same input.
 */
final class EffectsBuilder {
  private final NodeAddress self;
  private final Deque<ReplicaMessage> toSelf = new ArrayDeque<>();
  private List<Effects.DurableWrite> writes = new ArrayList<>();
  private List<Effects.Send> sends = new ArrayList<>();
  private List<ClientResult> results = new ArrayList<>();

  EffectsBuilder(NodeAddress self) {
    this.self = self;
  }

  void write(long token, DurableRecord record) {
    writes.add(new Effects.DurableWrite(token, record));
  }

  void send(NodeAddress to, ReplicaMessage message) {
    if (to.equals(self)) {
      toSelf.add(message);
    } else {
      sends.add(new Effects.Send(to, message));
    }
  }

  void result(ClientResult result) {
    results.add(result);
  }

  /** Removes and returns the next message from the node to itself, or null if there is none. */
  ReplicaMessage nextToSelf() {
    return toSelf.poll();
  }

  boolean hasMessageToSelf() {
    return !toSelf.isEmpty();
  }

  /**
   * Returns the collected effects and clears the builder. Messages from the node to itself are not
   * included.
   */
  Effects flush(boolean applied, Effects.RoleStatus role, long wakeAtMicros) {
    Effects effects = new Effects(writes, sends, results, applied, role, wakeAtMicros);
    writes = new ArrayList<>();
    sends = new ArrayList<>();
    results = new ArrayList<>();
    return effects;
  }
}
