package slateslip.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The replica of the control state on one core node: a state machine that turns inputs into
 * effects.
 */
public final class ControlReplica {
  private final ReplicaContext context;
  private final PendingRequests requests;
  private final PeerTable peers;
  private final PrimaryRole primary;
  private final FollowerRole follower;
  private final Witness witness;
  private final Proposer proposer;
  private boolean started;

  /**
   * Creates a replica, whose first input must be {@link ReplicaInput.Start}.
   *
   * @param settings the settings of this node
   * @param state the replicated application, in its state before the first record
   * @param randomSeed the seed of the random numbers for disk identifiers and backoff delays
   */
  public ControlReplica(ReplicaSettings settings, ReplicatedState state, long randomSeed) {
    context = new ReplicaContext(settings, state, randomSeed);
    requests = new PendingRequests(context);
    peers = new PeerTable(context);
    primary = new PrimaryRole(context, peers, requests);
    follower = new FollowerRole(context);
    witness = new Witness(context, this::primaryAlive);
    proposer = new Proposer(context, new ViewProposals());
  }

  /**
   * Handles one input and returns the effects that the host must carry out.
   *
   * @param nowMicros the time of the steady clock in microseconds
   */
  public Effects handle(long nowMicros, ReplicaInput input) {
    context.nowMicros = nowMicros;
    dispatch(input);
    processSelfMessages();
    if (started) {
      advance();
      processSelfMessages();
    }
    context.retryDurableWrites();
    return context.outbox.flush(context.store.getAndClearApplied(), role(), wakeAt());
  }

  private void dispatch(ReplicaInput input) {
    if (input instanceof ReplicaInput.Start start) {
      start(start.recovered());
    } else if (input instanceof ReplicaInput.Received received) {
      if (started && !received.from().equals(context.self)) {
        receive(received.from(), received.message());
      }
    } else if (input instanceof ReplicaInput.Written written) {
      written(written.token());
    } else if (input instanceof ReplicaInput.WriteFailed failed) {
      context.durableWrites.failed(context.nowMicros, failed.token());
    } else if (input instanceof ReplicaInput.TransferProgressed transfer) {
      primary.transferProgressed(transfer.to(), transfer.inTransfer());
    } else if (input instanceof ReplicaInput.Shutdown) {
      context.shuttingDown = true;
    } else if (input instanceof ReplicaInput.Propose propose) {
      propose(propose);
    } else if (input instanceof ReplicaInput.Confirm confirm) {
      confirm(confirm);
    }
  }

  private void processSelfMessages() {
    while (context.outbox.hasMessageToSelf()) {
      receive(context.self, context.outbox.nextToSelf());
    }
  }

  private void start(List<DurableRecord> recovered) {
    follower.start();
    if (!recovered.isEmpty()) {
      Recovery.replay(recovered, context);
    }
    if (context.self.address().equals(context.settings.address())) {
      begin();
    } else {
      createIdentity(recovered.isEmpty());
    }
  }

  /**
   * Creates the identity of this node, as part of the initial view or as a new node. The node sends
   * no message before the identity is on disk.
   */
  private void createIdentity(boolean emptyDisk) {
    NodeAddress address = context.settings.address();
    boolean bootstrapsSystem =
        emptyDisk && context.settings.bootstrap() && context.settings.seeds().contains(address);
    if (bootstrapsSystem) {
      context.self = new NodeId(address, NodeId.INITIAL_DISK_ID);
      context.witness = WitnessState.decided(View.initial(context.settings.seeds()));
      context.store.beginTerm(new PrimaryTerm(1, 0));
    } else {
      long diskId = context.random.nextLong(1, Long.MAX_VALUE);
      context.self = new NodeId(address, diskId);
      context.witness = WitnessState.decided(context.view());
    }
    context.writeVote(() -> {});
  }

  private void begin() {
    started = true;
    if (context.isPrimary()) {
      primary.begin();
    }
  }

  private void written(long token) {
    DurablePosition previousPosition = context.durableWrites.durable();
    if (!context.durableWrites.written(token)) {
      return;
    }
    if (!started) {
      begin();
    }
    if (!primary.leading() && !context.durableWrites.durable().equals(previousPosition)) {
      follower.reportDurable();
    }
  }

  private void propose(ReplicaInput.Propose propose) {
    if (primary.leading()) {
      requests.propose(propose.clientToken(), propose.command());
    } else {
      requests.notPrimary(propose.clientToken(), follower.primary());
    }
  }

  private void confirm(ReplicaInput.Confirm confirm) {
    if (primary.leading()) {
      requests.confirm(confirm.clientToken(), peers.round());
    } else {
      requests.notPrimary(confirm.clientToken(), follower.primary());
    }
  }

  private void receive(NodeId from, ReplicaMessage message) {
    if (message instanceof ReplicaMessage.Prepare prepare) {
      prepare(from, prepare);
    } else if (message instanceof ReplicaMessage.Promise promise) {
      proposer.promise(from, promise);
    } else if (message instanceof ReplicaMessage.Accept accept) {
      accept(from, accept);
    } else if (message instanceof ReplicaMessage.Accepted accepted) {
      proposer.accepted(from, accepted);
    } else if (message instanceof ReplicaMessage.Rejected rejected) {
      proposer.rejected(from, rejected);
    } else if (message instanceof ReplicaMessage.Decided decided) {
      adopt(decided.view());
    } else if (!from.equals(context.self)) {
      receiveFromOther(from, message);
    }
  }

  private void receiveFromOther(NodeId from, ReplicaMessage message) {
    if (message instanceof ReplicaMessage.Hello hello) {
      hello(from, hello);
    } else if (message instanceof ReplicaMessage.Heartbeat heartbeat) {
      heartbeat(from, heartbeat);
    } else if (message instanceof ReplicaMessage.HeartbeatReply reply) {
      primary.heartbeatReply(from, reply);
    } else if (message instanceof ReplicaMessage.Synced synced) {
      primary.synced(from, synced);
    } else if (!primary.leading()) {
      receiveAsFollower(from, message);
    }
  }

  private void receiveAsFollower(NodeId from, ReplicaMessage message) {
    if (!from.equals(context.view().primary())) {
      return;
    }
    if (message instanceof ReplicaMessage.Install install) {
      follower.install(install);
    } else if (message instanceof ReplicaMessage.Append append) {
      follower.append(append);
    } else if (message instanceof ReplicaMessage.TransferLeadership transferLeadership) {
      follower.leadershipTransferred(from, transferLeadership);
    }
  }

  private void prepare(NodeId from, ReplicaMessage.Prepare message) {
    adopt(message.base());
    if (message.base().epoch() < context.view().epoch()) {
      sendView(from);
    } else {
      witness.prepare(from, message);
    }
  }

  private void accept(NodeId from, ReplicaMessage.Accept message) {
    if (message.baseEpoch() < context.view().epoch()) {
      sendView(from);
    } else {
      witness.accept(from, message);
    }
  }

  private void hello(NodeId from, ReplicaMessage.Hello message) {
    adopt(message.view());
    if (message.view().epoch() < context.view().epoch()) {
      sendView(from);
    }
    if (primary.leading()) {
      primary.hello(from, message.status());
    }
  }

  private void heartbeat(NodeId from, ReplicaMessage.Heartbeat message) {
    adopt(message.view());
    long epoch = message.term().epoch();
    if (epoch < context.view().epoch()) {
      sendView(from);
    } else if (!primary.leading()) {
      follower.heartbeat(from, message);
    }
  }

  private void sendView(NodeId to) {
    context.outbox.send(to.address(), new ReplicaMessage.Decided(context.view()));
  }

  /** Adopts a decided view if its epoch is newer than that of the newest known view. */
  private void adopt(View view) {
    View previousView = context.view();
    if (view.epoch() <= previousView.epoch()) {
      return;
    }
    context.witness = WitnessState.decided(view);
    context.writeVote(() -> {});
    proposer.viewChanged();
    follower.viewChanged();
    if (context.isPrimary()) {
      primary.viewDecided(previousView, view);
      primary.begin();
    } else {
      primary.end(Optional.of(view.primary().address()));
    }
  }

  /**
   * Returns the newest decided view that this node knows, or {@link View#NONE} if this node knows
   * no view.
   */
  public View view() {
    return context.view();
  }

  /**
   * Returns whether this node is a member of the newest decided view that this node knows; a member
   * must have each record on disk before the record is committed.
   */
  public boolean isMember() {
    return context.view().hasMember(context.self);
  }

  /**
   * Returns the newest term in which this node was the primary, or {@link PrimaryTerm#NONE} if this
   * node has never been the primary.
   */
  public PrimaryTerm primaryTerm() {
    return primary.term();
  }

  /** Returns whether the placement of this primary's view survives each tolerated loss. */
  public PlacementState placement() {
    return primary.placement();
  }

  /**
   * Returns whether, at the last input, this node was an active primary or had received a heartbeat
   * of an active primary within the primary timeout.
   */
  public boolean isPrimaryReachable() {
    return started && primaryAlive();
  }

  private boolean primaryAlive() {
    return primary.leading() ? primary.active() : follower.primaryAlive();
  }

  private void advance() {
    proposer.tick();
    primary.resignIfUnhealthy();
    primary.advance(proposer.busy());
    if (!primary.leading()) {
      follower.requestView();
    }
    if (proposer.ready() && wantsToPropose()) {
      proposer.begin(primary.leading() || follower.holdsTransferredLeadership());
    }
  }

  private boolean wantsToPropose() {
    if (primary.leading()) {
      return primary.active() && primary.needsViewChange();
    }
    return follower.wantsToLead();
  }

  private Effects.RoleStatus role() {
    return new Effects.RoleStatus(
        started ? context.self : NodeId.NONE,
        context.view().epoch(),
        context.view().primary(),
        primary.serving(),
        context.store.appliedSequence());
  }

  private long wakeAt() {
    long due = proposer.wakeAtMicros();
    long tick = context.nowMicros + ReplicationTimeouts.MAX_TICK_INTERVAL_MICROS;
    return due > context.nowMicros ? Math.min(due, tick) : tick;
  }

  /** Chooses the view to propose, and announces a decided view to the old and the new witnesses. */
  private final class ViewProposals implements Proposer.Host {
    @Override
    public Optional<View> valueToPropose(View base, Map<NodeId, ReplicaMessage.Promise> promises) {
      if (primary.leading()) {
        View same = new View(base.epoch() + 1, base.primary(), base.members(), base.witnesses());
        return Optional.of(primary.nextView().orElse(same));
      }
      if (!base.mayLeadNext(context.self, context.durableWrites.durable().term().epoch())) {
        return Optional.empty();
      }
      Map<NodeId, NodeLocation> responding = new HashMap<>();
      for (ViewMember member : base.members()) {
        ReplicaMessage.Promise promise = promises.get(member.node());
        if (promise != null && promise.status().healthy()) {
          responding.put(member.node(), promise.status().location());
        }
      }
      List<NodeId> installed =
          responding.keySet().stream()
              .filter(node -> base.mayLeadNext(node, installedEpoch(promises.get(node))))
              .toList();
      return Optional.of(
          MembershipPolicy.viewAfterFailover(
              base, context.self, context.tolerance(), responding, installed));
    }

    private long installedEpoch(ReplicaMessage.Promise promise) {
      return promise.status().durableTerm().epoch();
    }

    @Override
    public void decided(View base, View view) {
      Set<NodeId> recipients = new TreeSet<>(base.witnesses());
      recipients.addAll(view.witnesses());
      recipients.remove(context.self);
      adopt(view);
      ReplicaMessage decided = new ReplicaMessage.Decided(view);
      recipients.forEach(node -> context.outbox.send(node.address(), decided));
    }
  }
}
