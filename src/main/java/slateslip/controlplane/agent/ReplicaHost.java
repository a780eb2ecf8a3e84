package slateslip.controlplane.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import slateslip.coordination.ClientResult;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.Effects;
import slateslip.coordination.Effects.RoleStatus;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.ReplicaInput;
import slateslip.coordination.View;
import slateslip.logging.LogContext;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;

/** Carries out what the replica of the control state asks for. Confined to the event loop. */
final class ReplicaHost {
  private static final Logger LOG = Logger.getLogger(ReplicaHost.class);

  private final Scheduler scheduler;
  private final ControlReplica replica;
  private final WriteAheadLog disk;
  private final PeerSender sender;
  private final Runnable applied;
  private final Consumer<RuntimeException> brokenInvariant;
  private final Map<Long, Consumer<ClientResult>> waiting = new HashMap<>();
  private long lastToken;
  private RoleStatus role;
  private Scheduler.Timer wake;

  /** Sends a message to a peer; it may be lost. */
  interface PeerSender {
    void send(NodeAddress to, byte[] message);
  }

  /**
   * A replica that has not started.
   *
   * @param applied told after the committed state has changed
   * @param brokenInvariant told of a failure in the middle of an input: the replica's state is then
   *     not to be trusted, and the process has to end
   */
  ReplicaHost(
      Scheduler scheduler,
      ControlReplica replica,
      WriteAheadLog disk,
      PeerSender sender,
      Runnable applied,
      Consumer<RuntimeException> brokenInvariant) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.disk = disk;
    this.sender = sender;
    this.applied = applied;
    this.brokenInvariant = brokenInvariant;
  }

  void start() {
    handle(new ReplicaInput.Start(disk.recovered()));
    disk.start();
  }

  void received(ReplicaFrame frame) {
    handle(new ReplicaInput.Received(frame.from(), frame.message()));
  }

  /** Proposes a command; the result comes later, on the loop. */
  void propose(byte[] command, Consumer<ClientResult> result) {
    long token = nextToken(result);
    handle(new ReplicaInput.Propose(token, command));
  }

  /** Asks whether the state is current; the result comes later, on the loop. */
  void confirm(Consumer<ClientResult> result) {
    long token = nextToken(result);
    handle(new ReplicaInput.Confirm(token));
  }

  /** This node's place; null before {@link #start}. */
  RoleStatus role() {
    return role;
  }

  /** Whether this node leads and takes commands. */
  boolean isServing() {
    return role != null && role.serving();
  }

  /** Whether this node leads or has heard the newest view's primary lately. */
  boolean hearsPrimary() {
    return replica.hearsPrimary();
  }

  /** Others are to take over what this node does in the view. */
  void leave() {
    handle(new ReplicaInput.Shutdown());
  }

  /** Whether the newest view counts on this node's copy of the state. */
  boolean isMember() {
    return replica.isMember();
  }

  View view() {
    return replica.view();
  }

  private long nextToken(Consumer<ClientResult> result) {
    lastToken++;
    waiting.put(lastToken, result);
    return lastToken;
  }

  private void handle(ReplicaInput input) {
    Effects effects;
    try {
      effects = replica.handle(scheduler.nowMicros(), input);
    } catch (RuntimeException broken) {
      brokenInvariant.accept(broken);
      throw broken;
    }
    logChange(effects.role());
    role = effects.role();
    effects.writes().forEach(this::write);
    effects.sends().forEach(this::send);
    if (effects.applied()) {
      applied.run();
    }
    effects.results().forEach(this::answer);
    wakeAt(effects.wakeAtMicros());
  }

  private void logChange(RoleStatus now) {
    boolean changed =
        role == null || now.epoch() != role.epoch() || now.serving() != role.serving();
    if (changed) {
      LogContext.epoch(now.epoch());
      LOG.infof(
          "epoch %d, primary %s, %s", now.epoch(), now.primary(), now.serving() ? "serving" : "");
    }
  }

  private void write(Effects.DurableWrite write) {
    disk.write(write.record(), durable -> written(write.token(), durable));
  }

  private void written(long token, boolean durable) {
    handle(durable ? new ReplicaInput.Written(token) : new ReplicaInput.WriteFailed(token));
  }

  private void send(Effects.Send send) {
    sender.send(send.to(), ReplicaMessageCodec.encode(role.self(), send.message()));
  }

  private void answer(ClientResult result) {
    Consumer<ClientResult> callback = waiting.remove(result.clientToken());
    if (callback != null) {
      callback.accept(result);
    }
  }

  private void wakeAt(long atMicros) {
    if (wake != null) {
      wake.cancel();
    }
    long delay = Math.max(0, atMicros - scheduler.nowMicros());
    wake = scheduler.schedule(delay, () -> handle(new ReplicaInput.Tick()));
  }
}
