package slateslip.protocol.coordination;

import org.agrona.ExpandableArrayBuffer;
import slateslip.coordination.NodeId;
import slateslip.coordination.PeerMessage;
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
import slateslip.protocol.coordination.generated.RefusedEncoder;
import slateslip.protocol.coordination.generated.SyncedEncoder;
import slateslip.protocol.coordination.generated.TakeOverEncoder;

/** Writes one message into a buffer. */
final class PeerMessageEncoder {
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();
  private final ExpandableArrayBuffer buffer;
  private final NodeId from;

  /**
   * An encoder for one message.
   *
   * @param buffer written from its start
   * @param from the sender
   */
  PeerMessageEncoder(ExpandableArrayBuffer buffer, NodeId from) {
    this.buffer = buffer;
    this.from = from;
  }

  /** Writes the message and returns its length. */
  int write(PeerMessage message) {
    if (message instanceof PeerMessage.Hello hello) {
      return write(hello);
    }
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      return write(heartbeat);
    }
    if (message instanceof PeerMessage.HeartbeatReply heartbeatReply) {
      return write(heartbeatReply);
    }
    if (message instanceof PeerMessage.Decided decided) {
      return write(decided);
    }
    if (message instanceof PeerMessage.Prepare prepare) {
      return write(prepare);
    }
    if (message instanceof PeerMessage.Promise promise) {
      return write(promise);
    }
    if (message instanceof PeerMessage.Accept accept) {
      return write(accept);
    }
    if (message instanceof PeerMessage.Accepted accepted) {
      return write(accepted);
    }
    if (message instanceof PeerMessage.Refused refused) {
      return write(refused);
    }
    if (message instanceof PeerMessage.Install install) {
      return write(install);
    }
    if (message instanceof PeerMessage.Append append) {
      return write(append);
    }
    if (message instanceof PeerMessage.Synced synced) {
      return write(synced);
    }
    if (message instanceof PeerMessage.TakeOver takeOver) {
      return write(takeOver);
    }
    throw new IllegalStateException("a message without an encoding: " + message);
  }

  private int write(PeerMessage.Hello message) {
    HelloEncoder encoder = new HelloEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.status(), message.status());
    byte[] view = Images.encode(message.view());
    encoder.putView(view, 0, view.length);
    return encoder.limit();
  }

  private int write(PeerMessage.Heartbeat message) {
    HeartbeatEncoder encoder = new HeartbeatEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.tenure(), message.tenure());
    encoder.round(message.round());
    encoder.committedSequence(message.committedSequence());
    encoder.active(Fields.flag(message.active()));
    byte[] view = Images.encode(message.view());
    encoder.putView(view, 0, view.length);
    return encoder.limit();
  }

  private int write(PeerMessage.HeartbeatReply message) {
    HeartbeatReplyEncoder encoder =
        new HeartbeatReplyEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.tenure(), message.tenure());
    encoder.round(message.round());
    Fields.put(encoder.status(), message.status());
    return encoder.limit();
  }

  private int write(PeerMessage.Decided message) {
    DecidedEncoder encoder = new DecidedEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    byte[] view = Images.encode(message.view());
    encoder.putView(view, 0, view.length);
    return encoder.limit();
  }

  private int write(PeerMessage.Prepare message) {
    PrepareEncoder encoder = new PrepareEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.ballot(), message.ballot());
    encoder.consented(Fields.flag(message.consented()));
    byte[] base = Images.encode(message.base());
    encoder.putBase(base, 0, base.length);
    return encoder.limit();
  }

  private int write(PeerMessage.Promise message) {
    PromiseEncoder encoder = new PromiseEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    Fields.put(encoder.ballot(), message.ballot());
    Fields.put(encoder.acceptedBallot(), message.acceptedBallot());
    Fields.put(encoder.status(), message.status());
    byte[] accepted = Images.encode(message.accepted());
    encoder.putAccepted(accepted, 0, accepted.length);
    return encoder.limit();
  }

  private int write(PeerMessage.Accept message) {
    AcceptEncoder encoder = new AcceptEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    Fields.put(encoder.ballot(), message.ballot());
    byte[] value = Images.encode(message.value());
    encoder.putValue(value, 0, value.length);
    return encoder.limit();
  }

  private int write(PeerMessage.Accepted message) {
    AcceptedEncoder encoder = new AcceptedEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    Fields.put(encoder.ballot(), message.ballot());
    return encoder.limit();
  }

  private int write(PeerMessage.Refused message) {
    RefusedEncoder encoder = new RefusedEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    encoder.baseEpoch(message.baseEpoch());
    Fields.put(encoder.ballot(), message.ballot());
    Fields.put(encoder.promised(), message.promised());
    encoder.primaryAlive(Fields.flag(message.primaryAlive()));
    return encoder.limit();
  }

  private int write(PeerMessage.Install message) {
    InstallEncoder encoder = new InstallEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.tenure(), message.tenure());
    byte[] state = Images.encode(message.state());
    encoder.putState(state, 0, state.length);
    return encoder.limit();
  }

  private int write(PeerMessage.Append message) {
    AppendEncoder encoder = new AppendEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.tenure(), message.tenure());
    encoder.sequence(message.sequence());
    encoder.committedSequence(message.committedSequence());
    encoder.putRecord(message.record(), 0, message.record().length);
    return encoder.limit();
  }

  private int write(PeerMessage.Synced message) {
    SyncedEncoder encoder = new SyncedEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    Fields.put(encoder.tenure(), message.tenure());
    encoder.sequence(message.sequence());
    return encoder.limit();
  }

  private int write(PeerMessage.TakeOver message) {
    TakeOverEncoder encoder = new TakeOverEncoder().wrapAndApplyHeader(buffer, 0, header);
    Fields.put(encoder.sender(), from);
    encoder.epoch(message.epoch());
    return encoder.limit();
  }
}
