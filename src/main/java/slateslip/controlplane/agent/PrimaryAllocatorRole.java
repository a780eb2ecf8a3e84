package slateslip.controlplane.agent;

/** Assigns the role of quota allocator to the primary. */
final class PrimaryAllocatorRole implements QuotaService.AllocatorRole {
  private final ReplicaHost replica;

  PrimaryAllocatorRole(ReplicaHost replica) {
    this.replica = replica;
  }

  @Override
  public String address() {
    return replica.role().primary().address().toString();
  }

  @Override
  public boolean isSelf() {
    return replica.isServing();
  }

  @Override
  public AllocatorTerm term() {
    return new AllocatorTerm(replica.term());
  }
}
