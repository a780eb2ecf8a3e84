package slateslip.protocol.coordination;

import org.agrona.DirectBuffer;
import slateslip.coordination.Ballot;
import slateslip.coordination.NodeId;
import slateslip.coordination.NodeLocation;
import slateslip.coordination.PrimaryTerm;
import slateslip.coordination.ReplicaMessage;
import slateslip.coordination.ReplicaStatus;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.View;
import slateslip.protocol.coordination.generated.AcceptDecoder;
import slateslip.protocol.coordination.generated.AcceptedDecoder;
import slateslip.protocol.coordination.generated.AppendDecoder;
import slateslip.protocol.coordination.generated.DecidedDecoder;
import slateslip.protocol.coordination.generated.HeartbeatDecoder;
import slateslip.protocol.coordination.generated.HeartbeatReplyDecoder;
import slateslip.protocol.coordination.generated.HelloDecoder;
import slateslip.protocol.coordination.generated.InstallDecoder;
import slateslip.protocol.coordination.generated.MessageHeaderDecoder;
import slateslip.protocol.coordination.generated.PrepareDecoder;
import slateslip.protocol.coordination.generated.PromiseDecoder;
import slateslip.protocol.coordination.generated.RejectedDecoder;
import slateslip.protocol.coordination.generated.SyncedDecoder;
import slateslip.protocol.coordination.generated.TransferLeadershipDecoder;

/**
 * Decodes one message. Throws the exceptions of {@link slateslip.protocol.MessageReader.BodyReader}
 * for malformed bytes; the message reader converts them to results.
 */
final class ReplicaMessageDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();
  private final DirectBuffer buffer;

  ReplicaMessageDecoder(DirectBuffer buffer) {
    this.buffer = buffer;
  }

  /** Decodes the message. Returns null if the template is unknown. */
  ReplicaFrame read(int template) {
    return switch (template) {
      case HelloDecoder.TEMPLATE_ID -> readHello();
      case HeartbeatDecoder.TEMPLATE_ID -> readHeartbeat();
      case HeartbeatReplyDecoder.TEMPLATE_ID -> readHeartbeatReply();
      case DecidedDecoder.TEMPLATE_ID -> readDecided();
      case PrepareDecoder.TEMPLATE_ID -> readPrepare();
      case PromiseDecoder.TEMPLATE_ID -> readPromise();
      case AcceptDecoder.TEMPLATE_ID -> readAccept();
      case AcceptedDecoder.TEMPLATE_ID -> readAccepted();
      case RejectedDecoder.TEMPLATE_ID -> readRejected();
      case InstallDecoder.TEMPLATE_ID -> readInstall();
      case AppendDecoder.TEMPLATE_ID -> readAppend();
      case SyncedDecoder.TEMPLATE_ID -> readSynced();
      case TransferLeadershipDecoder.TEMPLATE_ID -> readTransferLeadership();
      default -> null;
    };
  }

  private void check(int knownLength, int knownVersion) {
    FieldCodec.checkBlock(header.blockLength(), header.version(), knownLength, knownVersion);
  }

  private ReplicaFrame readHello() {
    HelloDecoder decoder = new HelloDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(HelloDecoder.BLOCK_LENGTH, HelloDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    ReplicaStatus status = FieldCodec.status(decoder.status());
    byte[] viewBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.viewLength());
    decoder.getView(viewBytes, 0, viewBytes.length);
    View view = NestedBlocks.view(viewBytes);
    NodeLocation location = new NodeLocation(decoder.zone(), decoder.region());
    return new ReplicaFrame(from, new ReplicaMessage.Hello(view, status.withLocation(location)));
  }

  private ReplicaFrame readHeartbeat() {
    HeartbeatDecoder decoder = new HeartbeatDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(HeartbeatDecoder.BLOCK_LENGTH, HeartbeatDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    PrimaryTerm term = FieldCodec.term(decoder.term());
    long round = decoder.round();
    long committedSequence = decoder.committedSequence();
    boolean active = FieldCodec.isSet(decoder.active());
    byte[] viewBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.viewLength());
    decoder.getView(viewBytes, 0, viewBytes.length);
    View view = NestedBlocks.view(viewBytes);
    return new ReplicaFrame(
        from, new ReplicaMessage.Heartbeat(term, round, committedSequence, active, view));
  }

  private ReplicaFrame readHeartbeatReply() {
    HeartbeatReplyDecoder decoder =
        new HeartbeatReplyDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(HeartbeatReplyDecoder.BLOCK_LENGTH, HeartbeatReplyDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    PrimaryTerm term = FieldCodec.term(decoder.term());
    long round = decoder.round();
    ReplicaStatus status = FieldCodec.status(decoder.status());
    NodeLocation location = new NodeLocation(decoder.zone(), decoder.region());
    return new ReplicaFrame(
        from, new ReplicaMessage.HeartbeatReply(term, round, status.withLocation(location)));
  }

  private ReplicaFrame readDecided() {
    DecidedDecoder decoder = new DecidedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(DecidedDecoder.BLOCK_LENGTH, DecidedDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    byte[] viewBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.viewLength());
    decoder.getView(viewBytes, 0, viewBytes.length);
    View view = NestedBlocks.view(viewBytes);
    return new ReplicaFrame(from, new ReplicaMessage.Decided(view));
  }

  private ReplicaFrame readPrepare() {
    PrepareDecoder decoder = new PrepareDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(PrepareDecoder.BLOCK_LENGTH, PrepareDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    Ballot ballot = FieldCodec.ballot(decoder.ballot());
    boolean primaryConsents = FieldCodec.isSet(decoder.primaryConsents());
    byte[] baseBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.baseLength());
    decoder.getBase(baseBytes, 0, baseBytes.length);
    View base = NestedBlocks.view(baseBytes);
    return new ReplicaFrame(from, new ReplicaMessage.Prepare(base, ballot, primaryConsents));
  }

  private ReplicaFrame readPromise() {
    PromiseDecoder decoder = new PromiseDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(PromiseDecoder.BLOCK_LENGTH, PromiseDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = FieldCodec.ballot(decoder.ballot());
    Ballot acceptedBallot = FieldCodec.ballot(decoder.acceptedBallot());
    ReplicaStatus status = FieldCodec.status(decoder.status());
    byte[] acceptedBytes =
        FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.acceptedLength());
    decoder.getAccepted(acceptedBytes, 0, acceptedBytes.length);
    View accepted = NestedBlocks.view(acceptedBytes);
    NodeLocation location = new NodeLocation(decoder.zone(), decoder.region());
    return new ReplicaFrame(
        from,
        new ReplicaMessage.Promise(
            baseEpoch, ballot, acceptedBallot, accepted, status.withLocation(location)));
  }

  private ReplicaFrame readAccept() {
    AcceptDecoder decoder = new AcceptDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(AcceptDecoder.BLOCK_LENGTH, AcceptDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = FieldCodec.ballot(decoder.ballot());
    byte[] valueBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.valueLength());
    decoder.getValue(valueBytes, 0, valueBytes.length);
    View value = NestedBlocks.view(valueBytes);
    return new ReplicaFrame(from, new ReplicaMessage.Accept(baseEpoch, ballot, value));
  }

  private ReplicaFrame readAccepted() {
    AcceptedDecoder decoder = new AcceptedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(AcceptedDecoder.BLOCK_LENGTH, AcceptedDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = FieldCodec.ballot(decoder.ballot());
    return new ReplicaFrame(from, new ReplicaMessage.Accepted(baseEpoch, ballot));
  }

  private ReplicaFrame readRejected() {
    RejectedDecoder decoder = new RejectedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(RejectedDecoder.BLOCK_LENGTH, RejectedDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = FieldCodec.ballot(decoder.ballot());
    Ballot promised = FieldCodec.ballot(decoder.promised());
    boolean primaryAlive = FieldCodec.isSet(decoder.primaryAlive());
    return new ReplicaFrame(
        from, new ReplicaMessage.Rejected(baseEpoch, ballot, promised, primaryAlive));
  }

  private ReplicaFrame readInstall() {
    InstallDecoder decoder = new InstallDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(InstallDecoder.BLOCK_LENGTH, InstallDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    PrimaryTerm term = FieldCodec.term(decoder.term());
    byte[] stateBytes = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.stateLength());
    decoder.getState(stateBytes, 0, stateBytes.length);
    StateTransfer state = NestedBlocks.state(stateBytes);
    return new ReplicaFrame(from, new ReplicaMessage.Install(term, state));
  }

  private ReplicaFrame readAppend() {
    AppendDecoder decoder = new AppendDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(AppendDecoder.BLOCK_LENGTH, AppendDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    PrimaryTerm term = FieldCodec.term(decoder.term());
    long sequence = decoder.sequence();
    long committedSequence = decoder.committedSequence();
    byte[] record = FieldCodec.allocateBytes(buffer, decoder.limit(), decoder.recordLength());
    decoder.getRecord(record, 0, record.length);
    return new ReplicaFrame(
        from, new ReplicaMessage.Append(term, sequence, committedSequence, record));
  }

  private ReplicaFrame readSynced() {
    SyncedDecoder decoder = new SyncedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(SyncedDecoder.BLOCK_LENGTH, SyncedDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    PrimaryTerm term = FieldCodec.term(decoder.term());
    long sequence = decoder.sequence();
    return new ReplicaFrame(from, new ReplicaMessage.Synced(term, sequence));
  }

  private ReplicaFrame readTransferLeadership() {
    TransferLeadershipDecoder decoder =
        new TransferLeadershipDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(TransferLeadershipDecoder.BLOCK_LENGTH, TransferLeadershipDecoder.SCHEMA_VERSION);
    NodeId from = FieldCodec.node(decoder.sender());
    long epoch = decoder.epoch();
    return new ReplicaFrame(from, new ReplicaMessage.TransferLeadership(epoch));
  }
}
