package slateslip.simulation.control;

import slateslip.coordination.ClientResult;
import slateslip.coordination.ReplicaInput;

/**
 * Client that sends a number of changes to the serving primary and repeats each change until the
 * change is acknowledged.
 */
final class ScriptedClient implements Caller {
  private static final long STEP_MICROS = 10_000;
  private static final long REQUEST_TIMEOUT_MICROS = 300_000;

  private final ControlWorld world;
  private final int changes;
  private int acknowledgedChanges;
  private long token;
  private long calledAtMicros;

  ScriptedClient(ControlWorld world, int changes) {
    this.world = world;
    this.changes = changes;
  }

  boolean done() {
    return acknowledgedChanges == changes;
  }

  void start() {
    step();
  }

  private void step() {
    boolean idle =
        token == 0 || world.events().nowMicros() - calledAtMicros > REQUEST_TIMEOUT_MICROS;
    if (!done() && idle) {
      world.nodes().stream()
          .filter(node -> node.role().serving())
          .findFirst()
          .ifPresent(this::call);
    }
    world.events().after(STEP_MICROS, this::step);
  }

  private ReferenceState.Change change() {
    return new ReferenceState.Change(
        acknowledgedChanges, acknowledgedChanges + 1L, acknowledgedChanges);
  }

  private void call(SimulatedNode node) {
    token = world.nextToken(this);
    calledAtMicros = world.events().nowMicros();
    node.handle(new ReplicaInput.Propose(token, change().encode()));
  }

  @Override
  public void responded(SimulatedNode node, long respondedToken, ClientResult result) {
    if (respondedToken != token) {
      return;
    }
    token = 0;
    boolean accepted =
        result instanceof ClientResult.Committed
            || (result instanceof ClientResult.Responded response
                && ReferenceState.decodeResponse(response.response())
                    == ReferenceState.Response.ALREADY_APPLIED);
    if (accepted) {
      world.history().acknowledged(change());
      acknowledgedChanges++;
    }
  }
}
