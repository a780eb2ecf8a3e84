package slateslip.protocol.distribution;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.TransferPosition;
import slateslip.protocol.MessageReader;
import slateslip.protocol.distribution.generated.AcknowledgeDecoder;
import slateslip.protocol.distribution.generated.ConfigurationPatchDecoder;
import slateslip.protocol.distribution.generated.ConfigurationSnapshotDecoder;
import slateslip.protocol.distribution.generated.DemandDecoder;
import slateslip.protocol.distribution.generated.DocumentDecoder;
import slateslip.protocol.distribution.generated.Flag;
import slateslip.protocol.distribution.generated.HeartbeatDecoder;
import slateslip.protocol.distribution.generated.MessageHeaderDecoder;
import slateslip.protocol.distribution.generated.PingDecoder;
import slateslip.protocol.distribution.generated.PongDecoder;
import slateslip.protocol.distribution.generated.QuotaUpdateDecoder;
import slateslip.protocol.distribution.generated.SegmentAcknowledgeDecoder;
import slateslip.protocol.distribution.generated.SegmentDecoder;
import slateslip.protocol.distribution.generated.SessionsDecoder;
import slateslip.protocol.distribution.generated.SubscribeDecoder;

/**
 * Decodes messages of the distribution schema. Throws {@link IndexOutOfBoundsException} if a field
 * reaches beyond the end of the message, which the buffer or this class checks, and {@link
 * IllegalArgumentException} if a field has an unknown value.
 */
final class DistributionDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();

  /** Decodes a message to a control agent. Returns null if the template is unknown. */
  DataPlaneMessage readToControl(DirectBuffer buffer, int template) {
    return switch (template) {
      case SubscribeDecoder.TEMPLATE_ID -> readSubscribe(buffer);
      case AcknowledgeDecoder.TEMPLATE_ID -> readAcknowledge(buffer);
      case DemandDecoder.TEMPLATE_ID -> readDemand(buffer);
      case SegmentAcknowledgeDecoder.TEMPLATE_ID -> readSegmentAcknowledge(buffer);
      case PingDecoder.TEMPLATE_ID ->
          new DataPlaneMessage.Ping(
              new PingDecoder().wrapAndApplyHeader(buffer, 0, header).nonce());
      default -> null;
    };
  }

  /** Decodes a message to a data plane. Returns null if the template is unknown. */
  ControlPlaneMessage readToDataPlane(DirectBuffer buffer, int template) {
    return switch (template) {
      case ConfigurationSnapshotDecoder.TEMPLATE_ID -> readSnapshot(buffer);
      case ConfigurationPatchDecoder.TEMPLATE_ID -> readPatch(buffer);
      case SessionsDecoder.TEMPLATE_ID -> readSessions(buffer);
      case QuotaUpdateDecoder.TEMPLATE_ID -> readQuotaUpdate(buffer);
      case HeartbeatDecoder.TEMPLATE_ID -> readHeartbeat(buffer);
      case SegmentDecoder.TEMPLATE_ID -> readSegment(buffer);
      case PongDecoder.TEMPLATE_ID ->
          new ControlPlaneMessage.Pong(
              new PongDecoder().wrapAndApplyHeader(buffer, 0, header).nonce());
      default -> null;
    };
  }

  private DataPlaneMessage readSubscribe(DirectBuffer buffer) {
    SubscribeDecoder decoder = new SubscribeDecoder().wrapAndApplyHeader(buffer, 0, header);
    long incarnation = decoder.incarnation();
    long configurationVersion = decoder.configurationVersion();
    boolean active = isSet(decoder.active());
    boolean acceptsSegments = isSet(decoder.acceptsSegments());
    TransferPosition partial =
        acceptsSegments
            ? new TransferPosition(decoder.partialTransfer(), decoder.partialBytes())
            : TransferPosition.NONE;
    String node = decoder.node();
    String zone = decoder.zone();
    return new DataPlaneMessage.Subscribe(
        node, incarnation, zone, configurationVersion, active, acceptsSegments, partial);
  }

  private DataPlaneMessage readSegmentAcknowledge(DirectBuffer buffer) {
    SegmentAcknowledgeDecoder decoder =
        new SegmentAcknowledgeDecoder().wrapAndApplyHeader(buffer, 0, header);
    return new DataPlaneMessage.SegmentAcknowledge(
        new TransferPosition(decoder.transfer(), decoder.receivedBytes()));
  }

  private ControlPlaneMessage readSegment(DirectBuffer buffer) {
    SegmentDecoder decoder = new SegmentDecoder().wrapAndApplyHeader(buffer, 0, header);
    byte[] content = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(content, 0, content.length);
    return new ControlPlaneMessage.Segment(
        decoder.transfer(), decoder.totalBytes(), decoder.startOffset(), content);
  }

  private DataPlaneMessage readAcknowledge(DirectBuffer buffer) {
    AcknowledgeDecoder decoder = new AcknowledgeDecoder().wrapAndApplyHeader(buffer, 0, header);
    return new DataPlaneMessage.Acknowledge(
        decoder.configurationVersion(), decoder.sessionRevision());
  }

  private DataPlaneMessage readDemand(DirectBuffer buffer) {
    DemandDecoder decoder = new DemandDecoder().wrapAndApplyHeader(buffer, 0, header);
    long epoch = decoder.allocatorEpoch();
    boolean countsOnly = epoch == DemandDecoder.allocatorEpochNullValue();
    long appliedNumber = decoder.appliedNumber();
    long sentMicros = decoder.sentMicros();
    long ageMicros = decoder.ageMicros();
    int holders = decoder.holders();
    boolean waiting = !countsOnly && isSet(decoder.waiting());
    List<TenantDemand> tenants = new ArrayList<>();
    for (DemandDecoder.TenantsDecoder tenant : decoder.tenants()) {
      long wanted = tenant.wantedUnits();
      long admitted = tenant.admittedUnits();
      double allowed = tenant.allowed();
      Spending spending = new Spending(tenant.spent(), tenant.remainingParts());
      double needed = tenant.needed();
      double desired = tenant.desired();
      String name = tenant.tenant();
      tenants.add(
          countsOnly
              ? new TenantDemand(name, wanted, admitted)
              : new TenantDemand(name, wanted, admitted, allowed, spending, needed, desired));
    }
    return new DataPlaneMessage.Demand(
        countsOnly
            ? QuotaReport.countsOnly(tenants)
            : new QuotaReport(
                epoch, appliedNumber, sentMicros, ageMicros, holders, waiting, tenants));
  }

  private ControlPlaneMessage readSnapshot(DirectBuffer buffer) {
    ConfigurationSnapshotDecoder decoder =
        new ConfigurationSnapshotDecoder().wrapAndApplyHeader(buffer, 0, header);
    byte[] document = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(document, 0, document.length);
    return new ControlPlaneMessage.ConfigurationSnapshot(decoder.configurationVersion(), document);
  }

  private ControlPlaneMessage readPatch(DirectBuffer buffer) {
    ConfigurationPatchDecoder decoder =
        new ConfigurationPatchDecoder().wrapAndApplyHeader(buffer, 0, header);
    byte[] patch = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(patch, 0, patch.length);
    return new ControlPlaneMessage.ConfigurationPatch(
        decoder.fromVersion(), decoder.toVersion(), patch);
  }

  private static int checkedLength(DirectBuffer buffer, int limit, int length) {
    int offset = limit + DocumentDecoder.varDataEncodingOffset();
    return MessageReader.checkedLength(buffer, offset, length);
  }

  private ControlPlaneMessage readSessions(DirectBuffer buffer) {
    SessionsDecoder decoder = new SessionsDecoder().wrapAndApplyHeader(buffer, 0, header);
    long revision = decoder.revision();
    boolean fullTable = isSet(decoder.fullTable());
    boolean complete = isSet(decoder.complete());
    List<BackendSession> changed = new ArrayList<>();
    for (SessionsDecoder.ChangedDecoder session : decoder.changed()) {
      changed.add(readSession(session));
    }
    List<String> removedIds = new ArrayList<>();
    for (SessionsDecoder.GoneDecoder id : decoder.gone()) {
      removedIds.add(id.instance());
    }
    return fullTable
        ? new ControlPlaneMessage.SessionSnapshot(revision, complete, changed)
        : new ControlPlaneMessage.SessionDelta(revision, changed, removedIds);
  }

  private static BackendSession readSession(SessionsDecoder.ChangedDecoder decoder) {
    int slots = decoder.slots();
    boolean draining = isSet(decoder.draining());
    long remainingWarmupMillis = decoder.remainingWarmupMillis();
    long sequence = decoder.sequence();
    String id = decoder.instance();
    String service = decoder.service();
    String address = decoder.address();
    String zone = decoder.zone();
    String software = decoder.software();
    return new BackendSession(
        id, service, address, zone, software, slots, draining, remainingWarmupMillis, sequence);
  }

  private ControlPlaneMessage readQuotaUpdate(DirectBuffer buffer) {
    QuotaUpdateDecoder decoder = new QuotaUpdateDecoder().wrapAndApplyHeader(buffer, 0, header);
    int agents = decoder.agents();
    QuotaAllocation.Lease lease = readLease(decoder);
    List<TenantShare> tenants = new ArrayList<>();
    for (QuotaUpdateDecoder.TenantsDecoder tenant : decoder.tenants()) {
      double fraction = tenant.fraction();
      boolean exhausted = lease != null && isSet(tenant.exhausted());
      tenants.add(new TenantShare(tenant.tenant(), fraction, exhausted));
    }
    return new ControlPlaneMessage.QuotaUpdate(new QuotaAllocation(agents, lease, tenants));
  }

  private static QuotaAllocation.Lease readLease(QuotaUpdateDecoder decoder) {
    long epoch = decoder.allocatorEpoch();
    return epoch == QuotaUpdateDecoder.allocatorEpochNullValue()
        ? null
        : new QuotaAllocation.Lease(
            epoch,
            decoder.number(),
            decoder.incarnation(),
            decoder.reportSentMicros(),
            decoder.holders());
  }

  private ControlPlaneMessage readHeartbeat(DirectBuffer buffer) {
    HeartbeatDecoder decoder = new HeartbeatDecoder().wrapAndApplyHeader(buffer, 0, header);
    boolean current = isSet(decoder.current());
    long configurationVersion = decoder.configurationVersion();
    long sessionRevision = decoder.sessionRevision();
    List<String> controlAgents = new ArrayList<>();
    for (HeartbeatDecoder.ControlAgentsDecoder agent : decoder.controlAgents()) {
      controlAgents.add(agent.address());
    }
    return new ControlPlaneMessage.Heartbeat(
        current, configurationVersion, sessionRevision, controlAgents);
  }

  private static boolean isSet(Flag flag) {
    return flag == Flag.YES;
  }
}
