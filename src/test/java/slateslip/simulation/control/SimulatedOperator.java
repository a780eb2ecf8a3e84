package slateslip.simulation.control;

import java.util.List;
import java.util.SplittableRandom;
import slateslip.coordination.ClientResult;
import slateslip.coordination.ReplicaInput;
import slateslip.simulation.EventQueue;

/**
 * Operator that sends changes one after the other to random nodes, and sends the same change again
 * if the outcome is unknown.
 */
final class SimulatedOperator implements Caller {
  private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;
  private static final long MAX_DELAY_MICROS = 250_000;
  private static final long MAX_RETRY_DELAY_MICROS = 20_000;

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
  private int acknowledgedChanges;

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

  /** Returns the number of acknowledged changes of this operator. */
  int acknowledgedChanges() {
    return acknowledgedChanges;
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
    events.after(REQUEST_TIMEOUT_MICROS, () -> abandonRequest(token));
  }

  private void abandonRequest(long token) {
    if (token == callToken) {
      callToken = 0;
      call();
    }
  }

  /**
   * Handles a response that reached the operator; {@link ControlWorld} decides which responses are
   * lost.
   */
  @Override
  public void responded(SimulatedNode node, long token, ClientResult result) {
    if (token != callToken) {
      return;
    }
    callToken = 0;
    if (result instanceof ClientResult.Committed) {
      accepted();
    } else if (result instanceof ClientResult.Responded responded) {
      responded(ReferenceState.decodeResponse(responded.response()));
    } else if (result instanceof ClientResult.Confirmed) {
      read(node.state().version());
    }
    boolean outcomeKnown =
        !(result instanceof ClientResult.NotPrimary)
            && !(result instanceof ClientResult.Unavailable);
    events.after(
        random.nextLong(outcomeKnown ? MAX_DELAY_MICROS : MAX_RETRY_DELAY_MICROS), this::call);
  }

  private void accepted() {
    history.acknowledged(change);
    acknowledgedChanges++;
    knownVersion = change.version();
    change = random.nextInt(4) == 0 ? null : next();
  }

  private void responded(ReferenceState.Response response) {
    if (response == ReferenceState.Response.ALREADY_APPLIED) {
      accepted();
    } else {
      history.rejected(change);
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
