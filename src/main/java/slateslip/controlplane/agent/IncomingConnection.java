package slateslip.controlplane.agent;

import org.jboss.logging.Logger;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.peer.ControlPeerCodec;

/**
 * One connection that came in at the port for other agents: the stream of a data plane, or a peer's
 * messages. The schema of the first message tells which. A connection that sends what is no message
 * is closed.
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

  /** Takes what comes in. */
  public interface Listener {
    /** A message of a data plane. */
    void dataPlaneMessageReceived(DataPlaneStream stream, DataPlaneMessage message);

    /** The stream of a data plane takes more again. */
    void dataPlaneWritable(DataPlaneStream stream);

    /** The stream of a data plane has ended. */
    void dataPlaneClosed(DataPlaneStream stream);

    /** A peer's message; {@code sender} is the greeting of the connection that it came on. */
    void peerMessageReceived(ControlPeerMessage.Hello sender, ControlPeerMessage message);

    /** A message about the replicated control state. */
    void replicaMessageReceived(ReplicaFrame frame);
  }

  /**
   * Nothing has come yet.
   *
   * @param encodedHello encoded, sent back to a peer that has greeted
   */
  public IncomingConnection(DataPlaneStream stream, byte[] encodedHello, Listener listener) {
    this.stream = stream;
    this.encodedHello = encodedHello;
    this.listener = listener;
  }

  /** Takes one encoded message. */
  public void received(byte[] message) {
    if (peer != null) {
      peerMessageReceived(message);
    } else if (isDataPlane || MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID) {
      dataPlaneMessageReceived(message);
    } else {
      receiveHello(message);
    }
  }

  /** The connection takes more again. */
  public void writable() {
    if (isDataPlane) {
      listener.dataPlaneWritable(stream);
    }
  }

  /** The connection has ended. */
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
      close("no greeting");
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
      close("a first message of another protocol");
    }
  }

  private void peerMessageReceived(byte[] message) {
    if (MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID) {
      Decoded<ControlPeerMessage> decoded = peerCodec.decode(message);
      if (decoded instanceof Decoded.Message<ControlPeerMessage> known) {
        listener.peerMessageReceived(peer, known.value());
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

  private void close(String reason) {
    LOG.warnf("connection of %s closed: %s", stream, reason);
    stream.close();
  }
}
