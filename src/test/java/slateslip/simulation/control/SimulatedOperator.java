package slateslip.simulation.control;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.ReplicaInput;
import slateslip.simulation.EventQueue;

/** Sends changes one after the other; without a clear response the same again, to any node. */
final class SimulatedOperator implements Caller {
  private static final long PATIENCE = 1_000_000;
  private static final long LONG_DELAY = 250_000;
  private static final long SHORT_DELAY = 20_000;

  private final EventQueue events;
  private final SplittableRandom random;
  private final CheckedHistory history;
  private final ControlWorld world;
  private final int author;
  private ReferenceState.Change change;
  private long callToken;
  private boolean reading;
  private long acknowledgedAtCall;
  private long knownVersion;
  private boolean stopped;
  private int taken;

  SimulatedOperator(
      EventQueue events,
      SplittableRandom random,
      CheckedHistory history,
      ControlWorld world,
      int author) {
    this.events = events;
    this.random = random;
    this.history = history;
    this.world = world;
    this.author = author;
  }

  void start() {
    call();
  }

  void stop() {
    stopped = true;
  }

  /** Changes of this operator that were acknowledged. */
  int taken() {
    return taken;
  }

  private void call() {
    if (stopped) {
      return;
    }
    List<SimulatedNode> nodes = world.nodes();
    SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
    callToken = world.nextToken(this);
    acknowledgedAtCall = history.acknowledgedVersion();
    reading = change == null;
    long token = callToken;
    node.handle(
        reading
            ? new ReplicaInput.Confirm(token)
            : new ReplicaInput.Propose(token, change.encode()));
    events.after(PATIENCE, () -> giveUp(token));
  }

  private void giveUp(long token) {
    if (token == callToken) {
      callToken = 0;
      call();
    }
  }

  /** A response reached the world; whether it reaches the operator is decided there. */
  @Override
  public void responded(SimulatedNode node, long token, ClientResult result) {
    if (token != callToken) {
      return;
    }
    callToken = 0;
    if (result instanceof ClientResult.Committed) {
      accepted();
    } else if (result instanceof ClientResult.Responded responded) {
      responded(ReferenceState.respond(responded.response()));
    } else if (result instanceof ClientResult.Confirmed) {
      read(node.state().version());
    }
    boolean clear =
        !(result instanceof ClientResult.NotPrimary)
            && !(result instanceof ClientResult.Unavailable);
    events.after(random.nextLong(clear ? LONG_DELAY : SHORT_DELAY), this::call);
  }

  private void accepted() {
    history.acknowledged(change);
    taken++;
    knownVersion = change.version();
    change = random.nextInt(4) == 0 ? null : next();
  }

  private void responded(ReferenceState.Response response) {
    if (response == ReferenceState.Response.TAKEN_BEFORE) {
      accepted();
    } else {
      history.refused(change);
      change = null;
    }
  }

  private void read(long version) {
    history.read(acknowledgedAtCall, version);
    knownVersion = version;
    change = next();
  }

  private ReferenceState.Change next() {
    long version = knownVersion + 1 + random.nextInt(2);
    return new ReferenceState.Change(knownVersion, version, world.nextAuthor(author));
  }
}
