package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import slateslip.coordination.ClientResult;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.Effects;
import slateslip.coordination.Effects.RoleStatus;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.PlacementState;
import slateslip.coordination.PrimaryTerm;
import slateslip.coordination.ReplicaInput;
import slateslip.coordination.ReplicaMessage;
import slateslip.coordination.View;
import slateslip.coordination.ViewMember;
import slateslip.logging.LogContext;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;

/**
 * Runs the replica of the control state and executes its effects: disk writes, messages, results
 * and timers. Confined to the event loop.
 */
final class ReplicaHost {
  private static final Logger LOG = Logger.getLogger(ReplicaHost.class);

  private final Scheduler scheduler;
  private final ControlReplica replica;
  private final WriteAheadLog writeAheadLog;
  private final PeerSender sender;
  private final Runnable onApplied;
  private final Consumer<RuntimeException> onBrokenInvariant;
  private final Map<Long, Consumer<ClientResult>> pendingResults = new HashMap<>();
  private long lastToken;
  private RoleStatus role;
  private Scheduler.Timer wakeTimer;

  /** Sends messages to peers. */
  interface PeerSender {
    /** Sends an encoded message to a peer; the message may be lost. */
    void send(NodeAddress to, byte[] message);

    /**
     * Sends an encoded message that may be long, in order with other such messages; the message may
     * be lost. Returns whether the transfer takes some time.
     */
    boolean transfer(NodeAddress to, byte[] message, PeerTransferQueue.Order order);
  }

  /**
   * Creates a host whose replica is not started.
   *
   * @param onApplied called after the committed state has changed
   * @param onBrokenInvariant called with an exception that the replica threw while it handled an
   *     input; must end the process, because the state of the replica can no longer be trusted
   */
  ReplicaHost(
      Scheduler scheduler,
      ControlReplica replica,
      WriteAheadLog writeAheadLog,
      PeerSender sender,
      Runnable onApplied,
      Consumer<RuntimeException> onBrokenInvariant) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.writeAheadLog = writeAheadLog;
    this.sender = sender;
    this.onApplied = onApplied;
    this.onBrokenInvariant = onBrokenInvariant;
  }

  void start() {
    handle(new ReplicaInput.Start(writeAheadLog.recovered()));
    writeAheadLog.start();
  }

  void received(ReplicaFrame frame) {
    handle(new ReplicaInput.Received(frame.from(), frame.message()));
  }

  /**
   * Proposes a command; {@code onResult} is called once on the event loop, possibly before this
   * method returns.
   */
  void propose(byte[] command, Consumer<ClientResult> onResult) {
    long token = nextToken(onResult);
    handle(new ReplicaInput.Propose(token, command));
  }

  /**
   * Requests confirmation that the state is current; {@code onResult} is called once on the event
   * loop, possibly before this method returns.
   */
  void confirm(Consumer<ClientResult> onResult) {
    long token = nextToken(onResult);
    handle(new ReplicaInput.Confirm(token));
  }

  /** Returns the role of this node; null before {@link #start}. */
  RoleStatus role() {
    return role;
  }

  /** Returns whether this node is the primary and accepts commands. */
  boolean isServing() {
    return role != null && role.serving();
  }

  /**
   * Returns the newest term in which this node was the primary; {@link PrimaryTerm#NONE} if there
   * is none.
   */
  PrimaryTerm term() {
    return replica.primaryTerm();
  }

  /**
   * Returns whether this node is the primary or has recently received a message of the newest
   * view's primary.
   */
  boolean isPrimaryReachable() {
    return replica.isPrimaryReachable();
  }

  /** Returns whether the placement of this primary's view survives each tolerated loss. */
  PlacementState placement() {
    return replica.placement();
  }

  /** Asks the other nodes to take over this node's role in the view. */
  void shutDown() {
    handle(new ReplicaInput.Shutdown());
  }

  /** Returns whether the newest view counts this node's copy of the state. */
  boolean isMember() {
    return replica.isMember();
  }

  View view() {
    return replica.view();
  }

  private long nextToken(Consumer<ClientResult> onResult) {
    lastToken++;
    pendingResults.put(lastToken, onResult);
    return lastToken;
  }

  private void handle(ReplicaInput input) {
    Effects effects;
    try {
      effects = replica.handle(scheduler.nowMicros(), input);
    } catch (RuntimeException broken) {
      onBrokenInvariant.accept(broken);
      throw broken;
    }
    logRoleChange(effects.role());
    role = effects.role();
    effects.writes().forEach(this::write);
    List<ReplicaInput.TransferProgressed> transfers = sendAll(effects.sends());
    if (effects.applied()) {
      onApplied.run();
    }
    effects.results().forEach(this::complete);
    scheduleWake(effects.wakeAtMicros());
    transfers.forEach(this::handle);
  }

  /**
   * Reports the progress of a transfer to a peer.
   *
   * @param inTransfer false if everything that was sent to the peer is delivered or lost
   */
  void transferProgressed(NodeAddress to, boolean inTransfer) {
    handle(new ReplicaInput.TransferProgressed(to, inTransfer));
  }

  /** Logs changes of the epoch and of the primary, which an engineer on call looks for first. */
  private void logRoleChange(RoleStatus newRole) {
    boolean wasServing = isServing();
    boolean newEpoch = role == null || newRole.epoch() != role.epoch();
    if (!newEpoch && newRole.serving() == wasServing) {
      return;
    }
    LogContext.epoch(newRole.epoch());
    View view = replica.view();
    if (newEpoch) {
      LOG.infof(
          "view changed: epoch=%d primary=%s members=%s witnesses=%s",
          newRole.epoch(), newRole.primary(), memberNodes(view), view.witnesses());
    }
    if (newRole.serving() && !wasServing) {
      LOG.infof(
          "became primary: epoch=%d committed=%d", newRole.epoch(), newRole.committedSequence());
    } else if (wasServing && !newRole.serving()) {
      LOG.infof("stepped down: epoch=%d primary=%s", newRole.epoch(), newRole.primary());
    }
  }

  private static List<NodeId> memberNodes(View view) {
    return view.members().stream().map(ViewMember::node).toList();
  }

  private void write(Effects.DurableWrite write) {
    writeAheadLog.write(write.record(), durable -> written(write.token(), durable));
  }

  private void written(long token, boolean durable) {
    handle(durable ? new ReplicaInput.Written(token) : new ReplicaInput.WriteFailed(token));
  }

  /** Sends messages and returns which transfers have begun or have been replaced. */
  private List<ReplicaInput.TransferProgressed> sendAll(List<Effects.Send> sends) {
    List<ReplicaInput.TransferProgressed> transfers = new ArrayList<>();
    for (Effects.Send send : sends) {
      byte[] encoded = ReplicaMessageCodec.encode(role.self(), send.message());
      if (send.message() instanceof ReplicaMessage.Install) {
        boolean inTransfer = sender.transfer(send.to(), encoded, PeerTransferQueue.Order.REPLACES);
        transfers.add(new ReplicaInput.TransferProgressed(send.to(), inTransfer));
      } else if (send.message() instanceof ReplicaMessage.Append) {
        if (sender.transfer(send.to(), encoded, PeerTransferQueue.Order.FOLLOWS)) {
          transfers.add(new ReplicaInput.TransferProgressed(send.to(), true));
        }
      } else {
        sender.send(send.to(), encoded);
      }
    }
    return transfers;
  }

  private void complete(ClientResult result) {
    Consumer<ClientResult> callback = pendingResults.remove(result.clientToken());
    if (callback != null) {
      callback.accept(result);
    }
  }

  private void scheduleWake(long atMicros) {
    if (wakeTimer != null) {
      wakeTimer.cancel();
    }
    long delay = Math.max(0, atMicros - scheduler.nowMicros());
    wakeTimer = scheduler.schedule(delay, () -> handle(new ReplicaInput.Tick()));
  }
}
