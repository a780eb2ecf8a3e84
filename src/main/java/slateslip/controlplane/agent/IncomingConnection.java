package slateslip.controlplane.agent;

import org.jboss.logging.Logger;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.transfer.SegmentOutcome;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.peer.ControlPeerCodec;

/**
 * One incoming connection at the port for other agents, either a data plane or a peer. The schema
 * of the first message distinguishes data planes from peers. A connection that sends a malformed
 * message is closed.
 */
public final class IncomingConnection {
  private static final Logger LOG = Logger.getLogger(IncomingConnection.class);

  private final DataPlaneStream stream;
  private final byte[] encodedHello;
  private final Listener listener;
  private final DistributionCodec dataPlaneCodec = new DistributionCodec();
  private final ControlPeerCodec peerCodec = new ControlPeerCodec();
  private ControlPeerMessage.Hello peer;
  private boolean isDataPlane;

  /** Receives the decoded messages and state changes of incoming connections. */
  public interface Listener {
    /** Called for each message of a data plane. */
    void dataPlaneMessageReceived(DataPlaneStream stream, DataPlaneMessage message);

    /** Called when the stream of a data plane is writable again. */
    void dataPlaneWritable(DataPlaneStream stream);

    /** Called when the stream of a data plane is closed. */
    void dataPlaneClosed(DataPlaneStream stream);

    /** Called for each message of a peer; {@code sender} is the hello message of the connection. */
    void peerMessageReceived(ControlPeerMessage.Hello sender, ControlPeerMessage message);

    /** Called for each segment of a peer's long message. Returns what has been received. */
    SegmentOutcome peerSegmentReceived(
        ControlPeerMessage.Hello sender, ControlPeerMessage.Segment segment);

    /** Called for each message about the replicated control state. */
    void replicaMessageReceived(ReplicaFrame frame);
  }

  /**
   * Creates a connection that has not received a message.
   *
   * @param encodedHello encoded hello message of this agent, sent in response to the hello of a
   *     peer
   */
  public IncomingConnection(DataPlaneStream stream, byte[] encodedHello, Listener listener) {
    this.stream = stream;
    this.encodedHello = encodedHello;
    this.listener = listener;
  }

  /** Decodes one message and hands the result to the listener. */
  public void received(byte[] message) {
    if (peer != null) {
      peerMessageReceived(message);
    } else if (isDataPlane || MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID) {
      dataPlaneMessageReceived(message);
    } else {
      receiveHello(message);
    }
  }

  /** Returns whether a data plane has sent a valid message on this connection. */
  public boolean isDataPlane() {
    return isDataPlane;
  }

  /** Handles that the connection is writable again. */
  public void writable() {
    if (isDataPlane) {
      listener.dataPlaneWritable(stream);
    }
  }

  /** Handles that the connection is closed. */
  public void closed() {
    if (isDataPlane) {
      listener.dataPlaneClosed(stream);
    }
  }

  private void receiveHello(byte[] message) {
    if (peerCodec.decode(message) instanceof Decoded.Message<ControlPeerMessage> decoded
        && decoded.value() instanceof ControlPeerMessage.Hello hello) {
      peer = hello;
      stream.write(encodedHello);
      stream.flush();
      listener.peerMessageReceived(peer, hello);
    } else {
      close("the first message of the peer is not a valid hello");
    }
  }

  private void dataPlaneMessageReceived(byte[] message) {
    Decoded<DataPlaneMessage> decoded = dataPlaneCodec.decodeToControl(message);
    if (decoded instanceof Decoded.Message<DataPlaneMessage> known) {
      isDataPlane = true;
      listener.dataPlaneMessageReceived(stream, known.value());
    } else if (decoded instanceof Decoded.Malformed<DataPlaneMessage> malformed) {
      close(malformed.reason());
    } else if (!isDataPlane) {
      close("the first message belongs to an unknown protocol");
    }
  }

  private void peerMessageReceived(byte[] message) {
    if (MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID) {
      Decoded<ControlPeerMessage> decoded = peerCodec.decode(message);
      if (decoded instanceof Decoded.Message<ControlPeerMessage> known) {
        peerMessageReceived(known.value());
      } else if (decoded instanceof Decoded.Malformed<ControlPeerMessage> malformed) {
        close(malformed.reason());
      }
      return;
    }
    Decoded<ReplicaFrame> decoded = ReplicaMessageCodec.decode(message);
    if (decoded instanceof Decoded.Message<ReplicaFrame> known) {
      listener.replicaMessageReceived(known.value());
    } else if (decoded instanceof Decoded.Malformed<ReplicaFrame> malformed) {
      close(malformed.reason());
    }
  }

  private void peerMessageReceived(ControlPeerMessage message) {
    if (!(message instanceof ControlPeerMessage.Segment segment)) {
      listener.peerMessageReceived(peer, message);
      return;
    }
    SegmentOutcome outcome = listener.peerSegmentReceived(peer, segment);
    if (outcome instanceof SegmentOutcome.Complete complete) {
      peerMessageReceived(complete.message());
    } else if (outcome instanceof SegmentOutcome.Corrupt corrupt) {
      close(corrupt.reason());
    }
  }

  private void close(String reason) {
    LOG.warnf("connection of %s closed: %s", stream, reason);
    stream.close();
  }
}
