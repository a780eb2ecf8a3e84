package slateslip.protocol.coordination;

import org.agrona.DirectBuffer;
import slateslip.coordination.Ballot;
import slateslip.coordination.NodeId;
import slateslip.coordination.PeerMessage;
import slateslip.coordination.PeerStatus;
import slateslip.coordination.StateTransfer;
import slateslip.coordination.Tenure;
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
import slateslip.protocol.coordination.generated.RefusedDecoder;
import slateslip.protocol.coordination.generated.SyncedDecoder;
import slateslip.protocol.coordination.generated.TakeOverDecoder;

/** Reads one message; what is wrong with it is thrown, for the reader to turn into a value. */
final class PeerMessageDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();
  private final DirectBuffer buffer;

  PeerMessageDecoder(DirectBuffer buffer) {
    this.buffer = buffer;
  }

  /** Reads a message; null if its kind is not known. */
  PeerFrame read(int template) {
    return switch (template) {
      case HelloDecoder.TEMPLATE_ID -> readHello();
      case HeartbeatDecoder.TEMPLATE_ID -> readHeartbeat();
      case HeartbeatReplyDecoder.TEMPLATE_ID -> readHeartbeatReply();
      case DecidedDecoder.TEMPLATE_ID -> readDecided();
      case PrepareDecoder.TEMPLATE_ID -> readPrepare();
      case PromiseDecoder.TEMPLATE_ID -> readPromise();
      case AcceptDecoder.TEMPLATE_ID -> readAccept();
      case AcceptedDecoder.TEMPLATE_ID -> readAccepted();
      case RefusedDecoder.TEMPLATE_ID -> readRefused();
      case InstallDecoder.TEMPLATE_ID -> readInstall();
      case AppendDecoder.TEMPLATE_ID -> readAppend();
      case SyncedDecoder.TEMPLATE_ID -> readSynced();
      case TakeOverDecoder.TEMPLATE_ID -> readTakeOver();
      default -> null;
    };
  }

  private void check(int knownLength, int knownVersion) {
    Fields.checkBlock(header.blockLength(), header.version(), knownLength, knownVersion);
  }

  private PeerFrame readHello() {
    HelloDecoder decoder = new HelloDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(HelloDecoder.BLOCK_LENGTH, HelloDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    PeerStatus status = Fields.status(decoder.status());
    byte[] viewBytes = Fields.room(buffer, decoder.limit(), decoder.viewLength());
    decoder.getView(viewBytes, 0, viewBytes.length);
    View view = Images.view(viewBytes);
    return new PeerFrame(from, new PeerMessage.Hello(view, status));
  }

  private PeerFrame readHeartbeat() {
    HeartbeatDecoder decoder = new HeartbeatDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(HeartbeatDecoder.BLOCK_LENGTH, HeartbeatDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    Tenure tenure = Fields.tenure(decoder.tenure());
    long round = decoder.round();
    long committedSequence = decoder.committedSequence();
    boolean active = Fields.isSet(decoder.active());
    byte[] viewBytes = Fields.room(buffer, decoder.limit(), decoder.viewLength());
    decoder.getView(viewBytes, 0, viewBytes.length);
    View view = Images.view(viewBytes);
    return new PeerFrame(
        from, new PeerMessage.Heartbeat(tenure, round, committedSequence, active, view));
  }

  private PeerFrame readHeartbeatReply() {
    HeartbeatReplyDecoder decoder =
        new HeartbeatReplyDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(HeartbeatReplyDecoder.BLOCK_LENGTH, HeartbeatReplyDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    Tenure tenure = Fields.tenure(decoder.tenure());
    long round = decoder.round();
    PeerStatus status = Fields.status(decoder.status());
    return new PeerFrame(from, new PeerMessage.HeartbeatReply(tenure, round, status));
  }

  private PeerFrame readDecided() {
    DecidedDecoder decoder = new DecidedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(DecidedDecoder.BLOCK_LENGTH, DecidedDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    byte[] viewBytes = Fields.room(buffer, decoder.limit(), decoder.viewLength());
    decoder.getView(viewBytes, 0, viewBytes.length);
    View view = Images.view(viewBytes);
    return new PeerFrame(from, new PeerMessage.Decided(view));
  }

  private PeerFrame readPrepare() {
    PrepareDecoder decoder = new PrepareDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(PrepareDecoder.BLOCK_LENGTH, PrepareDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    Ballot ballot = Fields.ballot(decoder.ballot());
    boolean consented = Fields.isSet(decoder.consented());
    byte[] baseBytes = Fields.room(buffer, decoder.limit(), decoder.baseLength());
    decoder.getBase(baseBytes, 0, baseBytes.length);
    View base = Images.view(baseBytes);
    return new PeerFrame(from, new PeerMessage.Prepare(base, ballot, consented));
  }

  private PeerFrame readPromise() {
    PromiseDecoder decoder = new PromiseDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(PromiseDecoder.BLOCK_LENGTH, PromiseDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = Fields.ballot(decoder.ballot());
    Ballot acceptedBallot = Fields.ballot(decoder.acceptedBallot());
    PeerStatus status = Fields.status(decoder.status());
    byte[] acceptedBytes = Fields.room(buffer, decoder.limit(), decoder.acceptedLength());
    decoder.getAccepted(acceptedBytes, 0, acceptedBytes.length);
    View accepted = Images.view(acceptedBytes);
    return new PeerFrame(
        from, new PeerMessage.Promise(baseEpoch, ballot, acceptedBallot, accepted, status));
  }

  private PeerFrame readAccept() {
    AcceptDecoder decoder = new AcceptDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(AcceptDecoder.BLOCK_LENGTH, AcceptDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = Fields.ballot(decoder.ballot());
    byte[] valueBytes = Fields.room(buffer, decoder.limit(), decoder.valueLength());
    decoder.getValue(valueBytes, 0, valueBytes.length);
    View value = Images.view(valueBytes);
    return new PeerFrame(from, new PeerMessage.Accept(baseEpoch, ballot, value));
  }

  private PeerFrame readAccepted() {
    AcceptedDecoder decoder = new AcceptedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(AcceptedDecoder.BLOCK_LENGTH, AcceptedDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = Fields.ballot(decoder.ballot());
    return new PeerFrame(from, new PeerMessage.Accepted(baseEpoch, ballot));
  }

  private PeerFrame readRefused() {
    RefusedDecoder decoder = new RefusedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(RefusedDecoder.BLOCK_LENGTH, RefusedDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    long baseEpoch = decoder.baseEpoch();
    Ballot ballot = Fields.ballot(decoder.ballot());
    Ballot promised = Fields.ballot(decoder.promised());
    boolean primaryAlive = Fields.isSet(decoder.primaryAlive());
    return new PeerFrame(from, new PeerMessage.Refused(baseEpoch, ballot, promised, primaryAlive));
  }

  private PeerFrame readInstall() {
    InstallDecoder decoder = new InstallDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(InstallDecoder.BLOCK_LENGTH, InstallDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    Tenure tenure = Fields.tenure(decoder.tenure());
    byte[] stateBytes = Fields.room(buffer, decoder.limit(), decoder.stateLength());
    decoder.getState(stateBytes, 0, stateBytes.length);
    StateTransfer state = Images.state(stateBytes);
    return new PeerFrame(from, new PeerMessage.Install(tenure, state));
  }

  private PeerFrame readAppend() {
    AppendDecoder decoder = new AppendDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(AppendDecoder.BLOCK_LENGTH, AppendDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    Tenure tenure = Fields.tenure(decoder.tenure());
    long sequence = decoder.sequence();
    long committedSequence = decoder.committedSequence();
    byte[] record = Fields.room(buffer, decoder.limit(), decoder.recordLength());
    decoder.getRecord(record, 0, record.length);
    return new PeerFrame(from, new PeerMessage.Append(tenure, sequence, committedSequence, record));
  }

  private PeerFrame readSynced() {
    SyncedDecoder decoder = new SyncedDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(SyncedDecoder.BLOCK_LENGTH, SyncedDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    Tenure tenure = Fields.tenure(decoder.tenure());
    long sequence = decoder.sequence();
    return new PeerFrame(from, new PeerMessage.Synced(tenure, sequence));
  }

  private PeerFrame readTakeOver() {
    TakeOverDecoder decoder = new TakeOverDecoder().wrapAndApplyHeader(buffer, 0, header);
    check(TakeOverDecoder.BLOCK_LENGTH, TakeOverDecoder.SCHEMA_VERSION);
    NodeId from = Fields.node(decoder.sender());
    long epoch = decoder.epoch();
    return new PeerFrame(from, new PeerMessage.TakeOver(epoch));
  }
}
