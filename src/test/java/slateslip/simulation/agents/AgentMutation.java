package slateslip.simulation.agents;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import slateslip.coordination.DurableRecord;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
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
 * A deliberate defect of the control plane, which the checks of the simulation must detect. A
 * defect alters the messages between control agents and data planes, the behavior of a disk, or the
 * behavior of a process.
 */
enum AgentMutation {
  /** The control plane without a defect. */
  NONE,
  /** A primary serves without waiting until a majority has confirmed its heartbeat. */
  SERVES_WITHOUT_MAJORITY,
  /** An agent always reports to data planes that its configuration is current. */
  ALWAYS_REPORTS_CURRENT,
  /** A data plane keeps a stream on which no heartbeats arrive. */
  KEEPS_DEAD_STREAMS,
  /** Snapshots omit the accepted changes, which an agent needs to recognize a repeated change. */
  OMITS_ACCEPTED_CHANGES,
  /** All incarnations of an agent have the same incarnation number. */
  SAME_INCARNATION_NUMBERS,
  /** A change is acknowledged before the data planes of other agents have applied the change. */
  IGNORES_DELIVERY,
  /** An agent treats session changes as stored by a peer as soon as the changes are sent. */
  IGNORES_STORAGE_ACKNOWLEDGEMENT,
  /** An agent does not report deregistered backends to its peers. */
  HIDES_DEREGISTRATIONS,
  /** The disk reports writes as durable before the writes are synced. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A node that loses its disk keeps its identity and its vote. */
  KEEPS_IDENTITY_WITHOUT_STATE,
  /** Every node is treated as a replica that has all records. */
  COUNTS_EMPTY_REPLICAS,
  /** The first record is missing from each suffix that is sent to a lagging replica. */
  SKIPS_RECORD,
  /** An agent answers a data plane's ping without confirmation from the primary. */
  LEASES_UNCONFIRMED,
  /** Any heartbeat extends a data plane's key lease. */
  LEASES_BY_HEARTBEAT,
  /** A key lease never expires. */
  LEASES_NEVER_EXPIRE,
  /** Long messages are sent whole, so that only a complete message shows that an agent is alive. */
  SLOW_LINK_WHOLE_MESSAGES,
  /** An agent sends no heartbeats and pongs while a transfer is in progress on the stream. */
  SLOW_LINK_DROPS_HEARTBEATS,
  /** A rollout does not wait for a data plane whose stream has ended a moment ago. */
  SLOW_LINK_FORGETS_RECONNECTING,
  /** Long messages between control agents are sent whole, so that heartbeats wait for them. */
  SLOW_LINK_WHOLE_MESSAGES_TO_PEERS;

  /** More bytes in flight than the messages that are not part of a transfer have. */
  private static final long TRANSFER_BYTES = 8 * 1024;

  // ---- disks ----

  void alterDisk(SimulatedDisk disk) {
    if (this == ACKNOWLEDGES_BEFORE_SYNC) {
      disk.lie();
    }
  }

  /** Returns the record as the defective control plane recovers it from disk. */
  DurableRecord alterRecoveredRecord(DurableRecord record) {
    if (this == OMITS_ACCEPTED_CHANGES && record instanceof DurableRecord.Snapshot snapshot) {
      return new DurableRecord.Snapshot(
          snapshot.self(),
          snapshot.witness(),
          snapshot.installedTerm(),
          withoutAcceptedChanges(snapshot.state()));
    }
    return record;
  }

  private static StateTransfer withoutAcceptedChanges(StateTransfer state) {
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

  /**
   * Returns the record that a disk contains after the loss of its contents, or empty unless the
   * defect keeps the node's identity.
   */
  Optional<DurableRecord> recordAfterLoss(List<DurableRecord> before) {
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

  boolean leasesNeverExpire() {
    return this == LEASES_NEVER_EXPIRE;
  }

  /** Returns whether the data plane does not read segments. */
  boolean sendsWholeMessages() {
    return this == SLOW_LINK_WHOLE_MESSAGES;
  }

  /** Returns the hello message with which an agent responds to a peer. */
  ControlPeerMessage.Hello alterHello(ControlPeerMessage.Hello hello) {
    return this == SLOW_LINK_WHOLE_MESSAGES_TO_PEERS
        ? new ControlPeerMessage.Hello(hello.address(), hello.incarnation())
        : hello;
  }

  /** Returns whether an agent forgets a data plane as soon as its stream has ended. */
  boolean forgetsReconnecting() {
    return this == SLOW_LINK_FORGETS_RECONNECTING;
  }

  // ---- messages ----

  /** Returns whether the defective control plane does not send this message to a data plane. */
  boolean dropsMessageToDataPlane(byte[] message, long bytesInFlight) {
    return this == SLOW_LINK_DROPS_HEARTBEATS
        && bytesInFlight > TRANSFER_BYTES
        && new DistributionCodec().decodeToDataPlane(message)
            instanceof Decoded.Message<ControlPlaneMessage> known
        && (known.value() instanceof ControlPlaneMessage.Heartbeat
            || known.value() instanceof ControlPlaneMessage.Pong);
  }

  /**
   * Returns a message to a data plane as the defective control plane sends it. A hello message to a
   * peer is returned unchanged.
   */
  byte[] alterMessageToDataPlane(byte[] message) {
    if (this != ALWAYS_REPORTS_CURRENT
        || MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID) {
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

  /**
   * Returns a response that the sender of a message processes although the peer has not responded,
   * or empty if the defect forges no response.
   */
  Optional<ReplicaFrame> forgedResponse(String to, byte[] message) {
    if (this == SERVES_WITHOUT_MAJORITY
        && MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID
        && ReplicaMessageCodec.decode(message) instanceof Decoded.Message<ReplicaFrame> frame
        && frame.value().message() instanceof ReplicaMessage.Heartbeat heartbeat) {
      NodeId peer = new NodeId(NodeAddress.parse(to), NodeId.INITIAL_DISK_ID);
      PrimaryTerm term = heartbeat.term();
      long sequence = heartbeat.committedSequence();
      ReplicaStatus status =
          new ReplicaStatus(
              term.epoch(),
              false,
              term,
              sequence,
              term,
              sequence,
              sequence,
              true,
              NodeLocation.UNKNOWN);
      return Optional.of(
          new ReplicaFrame(
              peer, new ReplicaMessage.HeartbeatReply(term, heartbeat.round(), status)));
    }
    return Optional.empty();
  }

  /**
   * Returns the number of the session changes that the sender treats as stored by the peer as soon
   * as the message is sent, or empty if the defect does not apply to the message.
   */
  OptionalLong prematureAcknowledgement(byte[] message) {
    if (this == IGNORES_STORAGE_ACKNOWLEDGEMENT
        && MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID
        && new ControlPeerCodec().decode(message)
            instanceof Decoded.Message<ControlPeerMessage> known
        && known.value() instanceof ControlPeerMessage.SessionChanges changes
        && changes.number() != 0) {
      return OptionalLong.of(changes.number());
    }
    return OptionalLong.empty();
  }

  /** Returns the messages that the defective control plane sends to a peer instead of a message. */
  List<byte[]> alterMessageToPeer(byte[] message) {
    return switch (this) {
      case IGNORES_DELIVERY, HIDES_DEREGISTRATIONS -> List.of(alterControlPeerMessage(message));
      case SKIPS_RECORD, COUNTS_EMPTY_REPLICAS -> List.of(alterReplicaMessage(message));
      default -> List.of(message);
    };
  }

  private byte[] alterControlPeerMessage(byte[] message) {
    ControlPeerCodec codec = new ControlPeerCodec();
    if (MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID
        && codec.decode(message) instanceof Decoded.Message<ControlPeerMessage> known) {
      return codec.encode(alter(known.value()));
    }
    return message;
  }

  private ControlPeerMessage alter(ControlPeerMessage message) {
    if (this == IGNORES_DELIVERY && message instanceof ControlPeerMessage.DeliveryReport) {
      return new ControlPeerMessage.DeliveryReport(DeliveryProgress.NO_SUBSCRIBERS, 0);
    }
    if (message instanceof ControlPeerMessage.SessionChanges changes) {
      List<String> deregistered =
          this == HIDES_DEREGISTRATIONS ? new ArrayList<>() : changes.deregistered();
      return new ControlPeerMessage.SessionChanges(
          changes.number(), changes.fullTable(), changes.entries(), deregistered);
    }
    return message;
  }

  private byte[] alterReplicaMessage(byte[] message) {
    if (MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID
        && ReplicaMessageCodec.decode(message) instanceof Decoded.Message<ReplicaFrame> frame) {
      return ReplicaMessageCodec.encode(frame.value().from(), alter(frame.value().message()));
    }
    return message;
  }

  private ReplicaMessage alter(ReplicaMessage message) {
    if (this == SKIPS_RECORD && message instanceof ReplicaMessage.Install install) {
      return new ReplicaMessage.Install(install.term(), withoutFirstRecord(install.state()));
    }
    if (this == COUNTS_EMPTY_REPLICAS && message instanceof ReplicaMessage.HeartbeatReply reply) {
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
              status.healthy(),
              status.location());
      return new ReplicaMessage.HeartbeatReply(reply.term(), reply.round(), complete);
    }
    return message;
  }

  private static StateTransfer withoutFirstRecord(StateTransfer state) {
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
