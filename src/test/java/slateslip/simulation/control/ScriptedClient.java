package slateslip.simulation.control;

import slateslip.coordination.ClientResult;
import slateslip.coordination.ReplicaInput;

/** Sends a number of changes, each until it is acknowledged, to the node that serves. */
final class ScriptedClient implements Caller {
  private static final long STEP = 10_000;
  private static final long PATIENCE = 300_000;

  private final ControlWorld world;
  private final int changes;
  private int taken;
  private long token;
  private long calledAt;

  ScriptedClient(ControlWorld world, int changes) {
    this.world = world;
    this.changes = changes;
  }

  boolean done() {
    return taken == changes;
  }

  void start() {
    step();
  }

  private void step() {
    boolean idle = token == 0 || world.events().nowMicros() - calledAt > PATIENCE;
    if (!done() && idle) {
      world.nodes().stream()
          .filter(node -> node.role().serving())
          .findFirst()
          .ifPresent(this::call);
    }
    world.events().after(STEP, this::step);
  }

  private ReferenceState.Change change() {
    return new ReferenceState.Change(taken, taken + 1L, taken);
  }

  private void call(SimulatedNode node) {
    token = world.nextToken(this);
    calledAt = world.events().nowMicros();
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
                && ReferenceState.respond(response.response())
                    == ReferenceState.Response.TAKEN_BEFORE);
    if (accepted) {
      world.history().acknowledged(change());
      taken++;
    }
  }
}
