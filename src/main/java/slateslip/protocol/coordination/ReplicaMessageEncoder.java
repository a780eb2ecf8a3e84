package slateslip.protocol.coordination;

import org.agrona.ExpandableArrayBuffer;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.ReplicaMessage;
import slateslip.protocol.coordination.generated.AcceptEncoder;
import slateslip.protocol.coordination.generated.AcceptedEncoder;
import slateslip.protocol.coordination.generated.AppendEncoder;
import slateslip.protocol.coordination.generated.DecidedEncoder;
import slateslip.protocol.coordination.generated.HeartbeatEncoder;
import slateslip.protocol.coordination.generated.HeartbeatReplyEncoder;
import slateslip.protocol.coordination.generated.HelloEncoder;
import slateslip.protocol.coordination.generated.InstallEncoder;
import slateslip.protocol.coordination.generated.MessageHeaderEncoder;
import slateslip.protocol.coordination.generated.PrepareEncoder;
import slateslip.protocol.coordination.generated.PromiseEncoder;
import slateslip.protocol.coordination.generated.RejectedEncoder;
import slateslip.protocol.coordination.generated.SyncedEncoder;
import slateslip.protocol.coordination.generated.TransferLeadershipEncoder;

/** Encodes one message into a buffer. */
final class ReplicaMessageEncoder {
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();
  private final ExpandableArrayBuffer buffer;
  private final NodeId from;

  /**
   * Creates an encoder for one message.
   *
   * @param buffer receives the message from offset 0
   * @param from identity of the sending node
   */
  ReplicaMessageEncoder(ExpandableArrayBuffer buffer, NodeId from) {
    this.buffer = buffer;
    this.from = from;
  }

  /** Encodes the message and returns its length in bytes, header included. */
  int write(ReplicaMessage message) {
    if (message instanceof ReplicaMessage.Hello hello) {
      return write(hello);
    }
    if (message instanceof ReplicaMessage.Heartbeat heartbeat) {
      return write(heartbeat);
    }
    if (message instanceof ReplicaMessage.HeartbeatReply heartbeatReply) {
      return write(heartbeatReply);
    }
    if (message instanceof ReplicaMessage.Decided decided) {
      return write(decided);
    }
    if (message instanceof ReplicaMessage.Prepare prepare) {
      return write(prepare);
    }
    if (message instanceof ReplicaMessage.Promise promise) {
      return write(promise);
    }
    if (message instanceof ReplicaMessage.Accept accept) {
      return write(accept);
    }
    if (message instanceof ReplicaMessage.Accepted accepted) {
      return write(accepted);
    }
    if (message instanceof ReplicaMessage.Rejected rejected) {
      return write(rejected);
    }
    if (message instanceof ReplicaMessage.Install install) {
      return write(install);
    }
    if (message instanceof ReplicaMessage.Append append) {
      return write(append);
    }
    if (message instanceof ReplicaMessage.Synced synced) {
      return write(synced);
    }
    if (message instanceof ReplicaMessage.TransferLeadership transfer) {
      return write(transfer);
    }
    throw new IllegalStateException("no encoding exists for the message " + message);
  }

  private int write(ReplicaMessage.Hello message) {
    HelloEncoder encoder = new HelloEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.status(), message.status());
    byte[] view = NestedBlocks.encode(message.view());
    encoder.putView(view, 0, view.length);
    NodeLocation location = message.status().location();
    encoder.zone(location.zone()).region(location.region());
    return encoder.limit();
  }

  private int write(ReplicaMessage.Heartbeat message) {
    HeartbeatEncoder encoder = new HeartbeatEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.term(), message.term());
    encoder.round(message.round());
    encoder.committedSequence(message.committedSequence());
    encoder.active(FieldCodec.flag(message.active()));
    byte[] view = NestedBlocks.encode(message.view());
    encoder.putView(view, 0, view.length);
    return encoder.limit();
  }

  private int write(ReplicaMessage.HeartbeatReply message) {
    HeartbeatReplyEncoder encoder =
        new HeartbeatReplyEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.term(), message.term());
    encoder.round(message.round());
    FieldCodec.put(encoder.status(), message.status());
    NodeLocation location = message.status().location();
    encoder.zone(location.zone()).region(location.region());
    return encoder.limit();
  }

  private int write(ReplicaMessage.Decided message) {
    DecidedEncoder encoder = new DecidedEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    byte[] view = NestedBlocks.encode(message.view());
    encoder.putView(view, 0, view.length);
    return encoder.limit();
  }

  private int write(ReplicaMessage.Prepare message) {
    PrepareEncoder encoder = new PrepareEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.ballot(), message.ballot());
    encoder.primaryConsents(FieldCodec.flag(message.primaryConsents()));
    byte[] base = NestedBlocks.encode(message.base());
    encoder.putBase(base, 0, base.length);
    return encoder.limit();
  }

  private int write(ReplicaMessage.Promise message) {
    PromiseEncoder encoder = new PromiseEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    FieldCodec.put(encoder.ballot(), message.ballot());
    FieldCodec.put(encoder.acceptedBallot(), message.acceptedBallot());
    FieldCodec.put(encoder.status(), message.status());
    byte[] accepted = NestedBlocks.encode(message.accepted());
    encoder.putAccepted(accepted, 0, accepted.length);
    NodeLocation location = message.status().location();
    encoder.zone(location.zone()).region(location.region());
    return encoder.limit();
  }

  private int write(ReplicaMessage.Accept message) {
    AcceptEncoder encoder = new AcceptEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    FieldCodec.put(encoder.ballot(), message.ballot());
    byte[] value = NestedBlocks.encode(message.value());
    encoder.putValue(value, 0, value.length);
    return encoder.limit();
  }

  private int write(ReplicaMessage.Accepted message) {
    AcceptedEncoder encoder = new AcceptedEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    FieldCodec.put(encoder.ballot(), message.ballot());
    return encoder.limit();
  }

  private int write(ReplicaMessage.Rejected message) {
    RejectedEncoder encoder = new RejectedEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    FieldCodec.put(encoder.ballot(), message.ballot());
    FieldCodec.put(encoder.promised(), message.promised());
    encoder.primaryAlive(FieldCodec.flag(message.primaryAlive()));
    return encoder.limit();
  }

  private int write(ReplicaMessage.Install message) {
    InstallEncoder encoder = new InstallEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.term(), message.term());
    byte[] state = NestedBlocks.encode(message.state());
    encoder.putState(state, 0, state.length);
    return encoder.limit();
  }

  private int write(ReplicaMessage.Append message) {
    AppendEncoder encoder = new AppendEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.term(), message.term());
    encoder.sequence(message.sequence());
    encoder.committedSequence(message.committedSequence());
    encoder.putRecord(message.record(), 0, message.record().length);
    return encoder.limit();
  }

  private int write(ReplicaMessage.Synced message) {
    SyncedEncoder encoder = new SyncedEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    FieldCodec.put(encoder.term(), message.term());
    encoder.sequence(message.sequence());
    return encoder.limit();
  }

  private int write(ReplicaMessage.TransferLeadership message) {
    TransferLeadershipEncoder encoder =
        new TransferLeadershipEncoder().wrapAndApplyHeader(buffer, 0, header);
    FieldCodec.put(encoder.sender(), from);
    encoder.epoch(message.epoch());
    return encoder.limit();
  }
}
