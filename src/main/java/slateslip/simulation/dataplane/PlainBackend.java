package slateslip.simulation.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.simulation.EventQueue;

/**
 * A simulated application backend with a fixed number of slots, a bounded queue and one response
 * per request.
 */
final class PlainBackend extends SimulatedBackend {
  private final int slots;
  private final int queue;
  private final Deque<BackendCall> waiting = new ArrayDeque<>();
  private final Set<BackendCall> running = new LinkedHashSet<>();

  PlainBackend(
      EventQueue loop,
      SimulatedNetwork network,
      RuleChecker checker,
      WorldPlan.BackendGroup group,
      int index,
      int zone) {
    super(loop, network, checker, group.service(), index, zone, group.slots());
    this.slots = group.slots();
    this.queue = group.queue();
  }

  @Override
  void accept(BackendCall call) {
    if (full()) {
      finish(call, new BackendReply.NotExecuted());
      return;
    }
    waiting.add(call);
    startNext();
  }

  @Override
  void abandon(BackendCall call) {
    waiting.remove(call);
    if (running.remove(call)) {
      startNext();
    }
  }

  @Override
  void reset() {
    waiting.clear();
    running.clear();
  }

  @Override
  BackendLoad load() {
    return new BackendLoad(running.size(), waiting.size(), slots);
  }

  @Override
  boolean full() {
    return waiting.size() >= queue;
  }

  private void startNext() {
    while (running.size() < slots && !waiting.isEmpty()) {
      BackendCall call = waiting.poll();
      if (call.deadlineMicros() <= loop.nowMicros()) {
        finish(call, new BackendReply.NotExecuted());
        continue;
      }
      running.add(call);
      checker.executionStarted(call, this);
      loop.after(call.content().workMicros(), () -> done(call));
    }
  }

  private void done(BackendCall call) {
    if (!running.remove(call)) {
      return;
    }
    boolean late = call.deadlineMicros() <= loop.nowMicros();
    if (late || call.content().failsAtBackend()) {
      finish(call, new BackendReply.Failure(late ? 504 : 500));
    } else {
      finish(call, new BackendReply.Success());
    }
    startNext();
  }
}
