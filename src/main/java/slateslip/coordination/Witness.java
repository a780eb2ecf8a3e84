package slateslip.coordination;

/**
 * Votes on the view of the next epoch, as an acceptor in Paxos does. A vote is sent only after the
 * vote is on disk.
 */
final class Witness {
  /** Reports whether the primary of the newest view is alive. */
  interface PrimaryLiveness {
    boolean primaryAlive();
  }

  private final ReplicaContext context;
  private final PrimaryLiveness primaryLiveness;

  Witness(ReplicaContext context, PrimaryLiveness primaryLiveness) {
    this.context = context;
    this.primaryLiveness = primaryLiveness;
  }

  /**
   * Handles the first phase of a proposal. The caller ensures that the base view of the proposal is
   * the newest decided view that this node knows.
   */
  void prepare(NodeId from, ReplicaMessage.Prepare message) {
    WitnessState state = context.witness;
    long epoch = state.decided().epoch();
    if (message.ballot().compareTo(state.promised()) < 0) {
      reject(from, epoch, message.ballot(), state.promised(), false);
      return;
    }
    if (!message.primaryConsents() && primaryLiveness.primaryAlive()) {
      reject(from, epoch, message.ballot(), Ballot.NONE, true);
      return;
    }
    context.witness =
        new WitnessState(
            state.decided(), message.ballot(), state.acceptedBallot(), state.accepted());
    ReplicaStatus status = context.status();
    context.writeVote(
        () ->
            context.outbox.send(
                from.address(),
                new ReplicaMessage.Promise(
                    epoch, message.ballot(), state.acceptedBallot(), state.accepted(), status)));
  }

  /** Handles the second phase of a proposal, and ignores a proposal on another base view. */
  void accept(NodeId from, ReplicaMessage.Accept message) {
    WitnessState state = context.witness;
    long epoch = state.decided().epoch();
    if (message.baseEpoch() != epoch) {
      return;
    }
    if (message.ballot().compareTo(state.promised()) < 0) {
      reject(from, epoch, message.ballot(), state.promised(), false);
      return;
    }
    context.witness =
        new WitnessState(state.decided(), message.ballot(), message.ballot(), message.value());
    context.writeVote(
        () ->
            context.outbox.send(
                from.address(), new ReplicaMessage.Accepted(epoch, message.ballot())));
  }

  private void reject(
      NodeId from, long epoch, Ballot ballot, Ballot promised, boolean primaryAlive) {
    context.outbox.send(
        from.address(), new ReplicaMessage.Rejected(epoch, ballot, promised, primaryAlive));
  }
}
