package slateslip.controlplane.agent;

import org.jboss.logging.Logger;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageReader;
import slateslip.protocol.coordination.ReplicaFrame;
import slateslip.protocol.coordination.ReplicaMessageCodec;
import slateslip.protocol.distribution.DistributionCodec;
import slateslip.protocol.exchange.ControlPeerCodec;

/**
 * One connection that came in at the port for other agents: the stream of a data plane, or a peer's
 * messages. The schema of the first message tells which. A connection that sends what is no message
 * is closed.
 */
public final class IncomingConnection {
  private static final Logger LOG = Logger.getLogger(IncomingConnection.class);

  private final DataPlaneStream stream;
  private final byte[] greeting;
  private final Listener listener;
  private final DistributionCodec distribution = new DistributionCodec();
  private final ControlPeerCodec exchange = new ControlPeerCodec();
  private ControlPeerMessage.Hello peer;
  private boolean dataPlane;

  /** Takes what comes in. */
  public interface Listener {
    /** A message of a data plane. */
    void fromDataPlane(DataPlaneStream stream, DataPlaneMessage message);

    /** The stream of a data plane takes more again. */
    void dataPlaneWritable(DataPlaneStream stream);

    /** The stream of a data plane has ended. */
    void dataPlaneClosed(DataPlaneStream stream);

    /** A peer's message; {@code sender} is the greeting of the connection that it came on. */
    void fromPeer(ControlPeerMessage.Hello sender, ControlPeerMessage message);

    /** A message about the replicated control state. */
    void fromReplica(ReplicaFrame frame);
  }

  /**
   * Nothing has come yet.
   *
   * @param greeting encoded, sent back to a peer that has greeted
   */
  public IncomingConnection(DataPlaneStream stream, byte[] greeting, Listener listener) {
    this.stream = stream;
    this.greeting = greeting;
    this.listener = listener;
  }

  /** Takes one encoded message. */
  public void received(byte[] message) {
    if (peer != null) {
      fromPeer(message);
    } else if (dataPlane || MessageReader.schemaOf(message) != ControlPeerCodec.SCHEMA_ID) {
      fromDataPlane(message);
    } else {
      greet(message);
    }
  }

  /** The connection takes more again. */
  public void writable() {
    if (dataPlane) {
      listener.dataPlaneWritable(stream);
    }
  }

  /** The connection has ended. */
  public void closed() {
    if (dataPlane) {
      listener.dataPlaneClosed(stream);
    }
  }

  private void greet(byte[] message) {
    if (exchange.decode(message) instanceof Decoded.Message<ControlPeerMessage> decoded
        && decoded.value() instanceof ControlPeerMessage.Hello first) {
      peer = first;
      stream.write(greeting);
      stream.flush();
      listener.fromPeer(peer, first);
    } else {
      close("no greeting");
    }
  }

  private void fromDataPlane(byte[] message) {
    Decoded<DataPlaneMessage> decoded = distribution.decodeToControl(message);
    if (decoded instanceof Decoded.Message<DataPlaneMessage> known) {
      dataPlane = true;
      listener.fromDataPlane(stream, known.value());
    } else if (decoded instanceof Decoded.Malformed<DataPlaneMessage> malformed) {
      close(malformed.reason());
    } else if (!dataPlane) {
      close("a first message of another protocol");
    }
  }

  private void fromPeer(byte[] message) {
    if (MessageReader.schemaOf(message) == ControlPeerCodec.SCHEMA_ID) {
      Decoded<ControlPeerMessage> decoded = exchange.decode(message);
      if (decoded instanceof Decoded.Message<ControlPeerMessage> known) {
        listener.fromPeer(peer, known.value());
      } else if (decoded instanceof Decoded.Malformed<ControlPeerMessage> malformed) {
        close(malformed.reason());
      }
      return;
    }
    Decoded<ReplicaFrame> decoded = ReplicaMessageCodec.decode(message);
    if (decoded instanceof Decoded.Message<ReplicaFrame> known) {
      listener.fromReplica(known.value());
    } else if (decoded instanceof Decoded.Malformed<ReplicaFrame> malformed) {
      close(malformed.reason());
    }
  }

  private void close(String reason) {
    LOG.warnf("connection of %s closed: %s", stream, reason);
    stream.close();
  }
}
