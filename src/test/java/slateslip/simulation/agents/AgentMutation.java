package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.PrimaryTerm;
import slateslip.coordination.ReplicaMessage;
import slateslip.coordination.ReplicaStatus;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.WitnessState;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.delivery.DeliveryProgress;
import slateslip.distribution.peer.ConfigurationStateSnapshot;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.peer.ConfigurationStateCodec;
import slateslip.protocol.peer.ControlPeerCodec;
import slateslip.simulation.SimulatedDisk;

/**
 * A fault put into the control side, to see that the checks find it: in what agents and data planes
 * say to each other, or in what a disk does.
 */
enum AgentMutation {
  /** As it is. */
  NONE,
  /** A primary takes a majority's confirmation for granted. */
  SERVES_UNCONFIRMED,
  /** An agent tells data planes that it is up to date, whatever it hears. */
  ALWAYS_CURRENT,
  /** A data plane keeps a stream on which nothing comes. */
  KEEPS_DEAD_STREAMS,
  /** Snapshots do not hold the changes by which a repeated call is known. */
  FORGETS_TAKEN_CHANGES,
  /** One life of an agent cannot be told from another by its incarnation. */
  SAME_INCARNATION_NUMBERS,
  /** A change is acknowledged without waiting for the data planes of other agents. */
  IGNORES_DELIVERY,
  /** A change of sessions counts as stored at another agent once it is sent. */
  IGNORES_STORED,
  /** An agent does not tell others which backends have departed. */
  HIDES_DEPARTURES,
  /** A member says that it has a record on disk when it is on its way there. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A disk that was lost leaves the node its identity and its vote. */
  KEEPS_IDENTITY_WITHOUT_STATE,
  /** Every node counts as one that has all records. */
  COUNTS_EMPTY_COPIES,
  /** A missing suffix is sent from one record too far. */
  SKIPS_A_RECORD,
  /** A data plane's question for the newest version is answered without asking the primary. */
  LEASES_UNCONFIRMED,
  /** Any heartbeat extends a data plane's lease. */
  LEASES_BY_HEARTBEAT,
  /** A lease does not end. */
  LEASES_FOR_EVER;

  // ---- disks ----

  void apply(SimulatedDisk disk) {
    if (this == ACKNOWLEDGES_BEFORE_SYNC) {
      disk.lie();
    }
  }

  /** What a record has become when it is read back. */
  DurableRecord recovered(DurableRecord record) {
    if (this == FORGETS_TAKEN_CHANGES && record instanceof DurableRecord.Snapshot snapshot) {
      return new DurableRecord.Snapshot(
          snapshot.self(),
          snapshot.witness(),
          snapshot.installedTerm(),
          forgetful(snapshot.state()));
    }
    return record;
  }

  private static StateTransfer forgetful(StateTransfer state) {
    if (!state.complete() || state.base().length == 0) {
      return state;
    }
    ConfigurationStateSnapshot image =
        ((Decoded.Message<ConfigurationStateSnapshot>) ConfigurationStateCodec.decode(state.base()))
            .value();
    byte[] base =
        ConfigurationStateCodec.encode(new ConfigurationStateSnapshot(List.of(), image.document()));
    return new StateTransfer(
        state.baseSequence(), true, base, state.records(), state.committedSequence());
  }

  /** What a disk holds after it was lost; nothing, unless the mutation keeps the identity. */
  Optional<DurableRecord> leftAfterLoss(List<DurableRecord> before) {
    if (this != KEEPS_IDENTITY_WITHOUT_STATE
        || before.isEmpty()
        || !(before.get(0) instanceof DurableRecord.Snapshot snapshot)) {
      return Optional.empty();
    }
    WitnessState witness = snapshot.witness();
    PrimaryTerm installed = snapshot.installedTerm();
    for (DurableRecord record : before) {
      if (record instanceof DurableRecord.Vote vote) {
        witness = vote.witness();
      } else if (record instanceof DurableRecord.Installation installation) {
        installed = installation.term();
      }
    }
    StateTransfer nothing = new StateTransfer(0, true, new byte[0], List.of(), 0);
    return Optional.of(new DurableRecord.Snapshot(snapshot.self(), witness, installed, nothing));
  }

  // ---- processes ----

  long incarnation(long drawn) {
    return this == SAME_INCARNATION_NUMBERS ? 1 : drawn;
  }

  boolean keepsDeadStreams() {
    return this == KEEPS_DEAD_STREAMS;
  }

  boolean leasesUnconfirmed() {
    return this == LEASES_UNCONFIRMED;
  }

  boolean leasesByHeartbeat() {
    return this == LEASES_BY_HEARTBEAT;
  }

  boolean leasesForEver() {
    return this == LEASES_FOR_EVER;
  }

  // ---- messages ----

  /** What becomes of a message to a data plane, or of a greeting. */
  byte[] toDataPlane(byte[] message) {
    if (this != ALWAYS_CURRENT || MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID) {
      return message;
    }
    DistributionCodec codec = new DistributionCodec();
    if (codec.decodeToDataPlane(message) instanceof Decoded.Message<ControlPlaneMessage> known
        && known.value() instanceof ControlPlaneMessage.Heartbeat heartbeat) {
      return codec.encode(
          new ControlPlaneMessage.Heartbeat(
              true,
              heartbeat.configurationVersion(),
              heartbeat.sessionRevision(),
              heartbeat.controlAgents()));
    }
    return message;
  }

  /** What an agent takes for the response to a message of its own, before any has come. */
  Optional<ReplicaFrame> expectedResponse(String to, byte[] message) {
    if (this == SERVES_UNCONFIRMED
        && MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID
        && ReplicaMessageCodec.decode(message) instanceof Decoded.Message<ReplicaFrame> frame
        && frame.value().message() instanceof ReplicaMessage.Heartbeat heartbeat) {
      NodeId peer = new NodeId(NodeAddress.parse(to), NodeId.INITIAL_DISK_ID);
      PrimaryTerm term = heartbeat.term();
      long sequence = heartbeat.committedSequence();
      ReplicaStatus status =
          new ReplicaStatus(term.epoch(), false, term, sequence, term, sequence, sequence, true);
      return Optional.of(
          new ReplicaFrame(
              peer, new ReplicaMessage.HeartbeatReply(term, heartbeat.round(), status)));
    }
    return Optional.empty();
  }

  /** The number of a change that its sender takes for stored at the receiver at once. */
  OptionalLong supposedlyStored(byte[] message) {
    if (this == IGNORES_STORED
        && MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID
        && new ControlPeerCodec().decode(message)
            instanceof Decoded.Message<ControlPeerMessage> known
        && known.value() instanceof ControlPeerMessage.SessionChanges changes
        && changes.number() != 0) {
      return OptionalLong.of(changes.number());
    }
    return OptionalLong.empty();
  }

  /** What becomes of a message from agent to agent. */
  List<byte[]> betweenAgents(byte[] message) {
    return switch (this) {
      case IGNORES_DELIVERY, HIDES_DEPARTURES -> List.of(exchange(message));
      case SKIPS_A_RECORD, COUNTS_EMPTY_COPIES -> List.of(replication(message));
      default -> List.of(message);
    };
  }

  private byte[] exchange(byte[] message) {
    ControlPeerCodec codec = new ControlPeerCodec();
    if (MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID
        && codec.decode(message) instanceof Decoded.Message<ControlPeerMessage> known) {
      return codec.encode(changed(known.value()));
    }
    return message;
  }

  private ControlPeerMessage changed(ControlPeerMessage message) {
    if (this == IGNORES_DELIVERY && message instanceof ControlPeerMessage.DeliveryReport) {
      return new ControlPeerMessage.DeliveryReport(DeliveryProgress.NO_SUBSCRIBERS);
    }
    if (message instanceof ControlPeerMessage.SessionChanges changes) {
      List<String> deregistered =
          this == HIDES_DEPARTURES ? new ArrayList<>() : changes.deregistered();
      return new ControlPeerMessage.SessionChanges(
          changes.number(), changes.fullTable(), changes.entries(), deregistered);
    }
    return message;
  }

  private byte[] replication(byte[] message) {
    if (MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID
        && ReplicaMessageCodec.decode(message) instanceof Decoded.Message<ReplicaFrame> frame) {
      return ReplicaMessageCodec.encode(frame.value().from(), changed(frame.value().message()));
    }
    return message;
  }

  private ReplicaMessage changed(ReplicaMessage message) {
    if (this == SKIPS_A_RECORD && message instanceof ReplicaMessage.Install install) {
      return new ReplicaMessage.Install(install.term(), skipping(install.state()));
    }
    if (this == COUNTS_EMPTY_COPIES && message instanceof ReplicaMessage.HeartbeatReply reply) {
      ReplicaStatus status = reply.status();
      ReplicaStatus complete =
          new ReplicaStatus(
              status.decidedEpoch(),
              status.acceptedNewerView(),
              reply.term(),
              Long.MAX_VALUE,
              reply.term(),
              Long.MAX_VALUE,
              status.committedSequence(),
              status.healthy());
      return new ReplicaMessage.HeartbeatReply(reply.term(), reply.round(), complete);
    }
    return message;
  }

  private static StateTransfer skipping(StateTransfer state) {
    if (state.complete() || state.records().size() < 2) {
      return state;
    }
    return new StateTransfer(
        state.baseSequence() + 1,
        false,
        state.base(),
        state.records().subList(1, state.records().size()),
        state.committedSequence());
  }
}
