package slateslip.coordination;

/** Votes on the view of the next epoch. A vote is sent once it is on disk. */
final class Witness {
  /** Tells whether the view's primary is there. */
  interface PrimaryLiveness {
    boolean primaryAlive();
  }

  private final ReplicaContext context;
  private final PrimaryLiveness primaryLiveness;

  Witness(ReplicaContext context, PrimaryLiveness primaryLiveness) {
    this.context = context;
    this.primaryLiveness = primaryLiveness;
  }

  /** First phase; the base is the newest decided view that this node knows. */
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

  /** Second phase. */
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
