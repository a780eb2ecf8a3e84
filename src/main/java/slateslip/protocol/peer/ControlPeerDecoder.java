package slateslip.protocol.peer;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.Spending;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.TransferPosition;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;
import slateslip.protocol.MessageReader;
import slateslip.protocol.peer.generated.DeliveryReportDecoder;
import slateslip.protocol.peer.generated.DemandReportDecoder;
import slateslip.protocol.peer.generated.DocumentDecoder;
import slateslip.protocol.peer.generated.Flag;
import slateslip.protocol.peer.generated.ForwardedRequestDecoder;
import slateslip.protocol.peer.generated.ForwardedResponseDecoder;
import slateslip.protocol.peer.generated.HeartbeatDecoder;
import slateslip.protocol.peer.generated.HelloDecoder;
import slateslip.protocol.peer.generated.MessageHeaderDecoder;
import slateslip.protocol.peer.generated.QuotaAllocationsDecoder;
import slateslip.protocol.peer.generated.SegmentAcknowledgeDecoder;
import slateslip.protocol.peer.generated.SegmentDecoder;
import slateslip.protocol.peer.generated.SessionChangesAcknowledgedDecoder;
import slateslip.protocol.peer.generated.SessionChangesDecoder;
import slateslip.protocol.peer.generated.SessionRenewalsDecoder;

/**
 * Decodes the messages between control agents. Throws the exceptions of {@link
 * MessageReader.BodyReader} for malformed bytes.
 */
final class ControlPeerDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();

  /** Decodes a message. Returns null if the template is unknown. */
  ControlPeerMessage read(DirectBuffer buffer, int template) {
    return switch (template) {
      case HelloDecoder.TEMPLATE_ID -> readHello(buffer);
      case HeartbeatDecoder.TEMPLATE_ID -> readHeartbeat(buffer);
      case SessionChangesDecoder.TEMPLATE_ID -> readSessionChanges(buffer);
      case SessionRenewalsDecoder.TEMPLATE_ID -> readSessionRenewals(buffer);
      case SessionChangesAcknowledgedDecoder.TEMPLATE_ID ->
          new ControlPeerMessage.SessionChangesAcknowledged(
              new SessionChangesAcknowledgedDecoder()
                  .wrapAndApplyHeader(buffer, 0, header)
                  .number());
      case ForwardedRequestDecoder.TEMPLATE_ID -> readForwardedRequest(buffer);
      case ForwardedResponseDecoder.TEMPLATE_ID -> readForwardedResponse(buffer);
      case DeliveryReportDecoder.TEMPLATE_ID -> readDeliveryReport(buffer);
      case DemandReportDecoder.TEMPLATE_ID -> readDemandReport(buffer);
      case QuotaAllocationsDecoder.TEMPLATE_ID -> readQuotaAllocations(buffer);
      case SegmentDecoder.TEMPLATE_ID -> readSegment(buffer);
      case SegmentAcknowledgeDecoder.TEMPLATE_ID -> readSegmentAcknowledge(buffer);
      default -> null;
    };
  }

  private ControlPeerMessage readDeliveryReport(DirectBuffer buffer) {
    DeliveryReportDecoder decoder =
        new DeliveryReportDecoder().wrapAndApplyHeader(buffer, 0, header);
    long slowestVersion = decoder.slowestVersion();
    long deliveredBytes = decoder.deliveredBytes();
    boolean reported = deliveredBytes != DeliveryReportDecoder.deliveredBytesNullValue();
    return new ControlPeerMessage.DeliveryReport(slowestVersion, reported ? deliveredBytes : 0);
  }

  private ControlPeerMessage readHello(DirectBuffer buffer) {
    HelloDecoder decoder = new HelloDecoder().wrapAndApplyHeader(buffer, 0, header);
    long incarnation = decoder.incarnation();
    boolean acceptsSegments = isSet(decoder.acceptsSegments());
    return new ControlPeerMessage.Hello(decoder.address(), incarnation, acceptsSegments);
  }

  private ControlPeerMessage readHeartbeat(DirectBuffer buffer) {
    HeartbeatDecoder decoder = new HeartbeatDecoder().wrapAndApplyHeader(buffer, 0, header);
    long number = decoder.number();
    long acknowledgedNumber = decoder.acknowledgedNumber();
    boolean complete = isSet(decoder.complete());
    List<String> knownAgents = new ArrayList<>();
    for (HeartbeatDecoder.KnownAgentsDecoder agent : decoder.knownAgents()) {
      knownAgents.add(agent.address());
    }
    return new ControlPeerMessage.Heartbeat(number, acknowledgedNumber, complete, knownAgents);
  }

  private ControlPeerMessage readForwardedRequest(DirectBuffer buffer) {
    ForwardedRequestDecoder decoder =
        new ForwardedRequestDecoder().wrapAndApplyHeader(buffer, 0, header);
    long id = decoder.requestId();
    long baseVersion = decoder.baseVersion();
    OperatorRequest.Method method = OperatorMethods.fromWire(decoder.method());
    byte[] body = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(body, 0, body.length);
    return new ControlPeerMessage.ForwardedRequest(
        id, new OperatorRequest(method, baseVersion, body));
  }

  private ControlPeerMessage readSegment(DirectBuffer buffer) {
    SegmentDecoder decoder = new SegmentDecoder().wrapAndApplyHeader(buffer, 0, header);
    byte[] content = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(content, 0, content.length);
    return new ControlPeerMessage.Segment(
        new ControlPlaneMessage.Segment(
            decoder.transfer(), decoder.totalBytes(), decoder.startOffset(), content));
  }

  private ControlPeerMessage readSegmentAcknowledge(DirectBuffer buffer) {
    SegmentAcknowledgeDecoder decoder =
        new SegmentAcknowledgeDecoder().wrapAndApplyHeader(buffer, 0, header);
    return new ControlPeerMessage.SegmentAcknowledge(
        new TransferPosition(decoder.transfer(), decoder.receivedBytes()));
  }

  private ControlPeerMessage readForwardedResponse(DirectBuffer buffer) {
    ForwardedResponseDecoder decoder =
        new ForwardedResponseDecoder().wrapAndApplyHeader(buffer, 0, header);
    long id = decoder.requestId();
    long version = decoder.configurationVersion();
    int status = decoder.status();
    byte[] body = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(body, 0, body.length);
    return new ControlPeerMessage.ForwardedResponse(
        id, new OperatorResponse(status, version, body));
  }

  private static int checkedLength(DirectBuffer buffer, int limit, int length) {
    int offset = limit + DocumentDecoder.varDataEncodingOffset();
    return MessageReader.checkedLength(buffer, offset, length);
  }

  private ControlPeerMessage readSessionChanges(DirectBuffer buffer) {
    SessionChangesDecoder decoder =
        new SessionChangesDecoder().wrapAndApplyHeader(buffer, 0, header);
    long number = decoder.number();
    boolean fullTable = isSet(decoder.fullTable());
    List<SessionEntry> entries = new ArrayList<>();
    for (SessionChangesDecoder.EntriesDecoder entry : decoder.entries()) {
      entries.add(readSessionEntry(entry));
    }
    List<String> deregistered = new ArrayList<>();
    for (SessionChangesDecoder.DeregisteredDecoder id : decoder.deregistered()) {
      deregistered.add(id.instance());
    }
    return new ControlPeerMessage.SessionChanges(number, fullTable, entries, deregistered);
  }

  private static SessionEntry readSessionEntry(SessionChangesDecoder.EntriesDecoder decoder) {
    long registeredAge = decoder.registeredAgeMillis();
    long heardAge = decoder.heardAgeMillis();
    int slots = decoder.slots();
    boolean draining = isSet(decoder.draining());
    long remainingWarmupMillis = decoder.remainingWarmupMillis();
    long sequence = decoder.sequence();
    String id = decoder.instance();
    String service = decoder.service();
    String address = decoder.address();
    String zone = decoder.zone();
    String software = decoder.software();
    BackendSession session =
        new BackendSession(
            id, service, address, zone, software, slots, draining, remainingWarmupMillis, sequence);
    return new SessionEntry(session, registeredAge, heardAge);
  }

  private ControlPeerMessage readSessionRenewals(DirectBuffer buffer) {
    SessionRenewalsDecoder decoder =
        new SessionRenewalsDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<SessionRenewal> renewals = new ArrayList<>();
    for (SessionRenewalsDecoder.RenewalsDecoder renewal : decoder.renewals()) {
      long heardAge = renewal.heardAgeMillis();
      renewals.add(new SessionRenewal(renewal.instance(), heardAge));
    }
    return new ControlPeerMessage.SessionRenewals(renewals);
  }

  private ControlPeerMessage readDemandReport(DirectBuffer buffer) {
    DemandReportDecoder decoder = new DemandReportDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<DataPlaneDemand> demands = new ArrayList<>();
    for (DemandReportDecoder.AgentsDecoder agent : decoder.agents()) {
      long incarnation = agent.incarnation();
      QuotaReport report = readQuotaReport(agent);
      demands.add(new DataPlaneDemand(agent.node(), incarnation, report));
    }
    return new ControlPeerMessage.DemandReport(demands);
  }

  private static QuotaReport readQuotaReport(DemandReportDecoder.AgentsDecoder decoder) {
    long epoch = decoder.allocatorEpoch();
    boolean countsOnly = epoch == DemandReportDecoder.AgentsDecoder.allocatorEpochNullValue();
    long appliedNumber = decoder.appliedNumber();
    long sentMicros = decoder.sentMicros();
    long ageMicros = decoder.ageMicros();
    int holders = decoder.holders();
    boolean waiting = !countsOnly && isSet(decoder.waiting());
    List<TenantDemand> tenants = new ArrayList<>();
    for (DemandReportDecoder.AgentsDecoder.TenantsDecoder tenant : decoder.tenants()) {
      tenants.add(readTenantDemand(tenant, countsOnly));
    }
    return countsOnly
        ? QuotaReport.countsOnly(tenants)
        : new QuotaReport(epoch, appliedNumber, sentMicros, ageMicros, holders, waiting, tenants);
  }

  private static TenantDemand readTenantDemand(
      DemandReportDecoder.AgentsDecoder.TenantsDecoder decoder, boolean countsOnly) {
    long wanted = decoder.wantedUnits();
    long admitted = decoder.admittedUnits();
    double allowed = decoder.allowed();
    Spending spending = new Spending(decoder.spent(), decoder.remainingParts());
    double needed = decoder.needed();
    double desired = decoder.desired();
    String name = decoder.tenant();
    return countsOnly
        ? new TenantDemand(name, wanted, admitted)
        : new TenantDemand(name, wanted, admitted, allowed, spending, needed, desired);
  }

  private ControlPeerMessage readQuotaAllocations(DirectBuffer buffer) {
    QuotaAllocationsDecoder decoder =
        new QuotaAllocationsDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<DataPlaneQuota> quotas = new ArrayList<>();
    for (QuotaAllocationsDecoder.AgentsDecoder agent : decoder.agents()) {
      int agents = agent.agents();
      QuotaAllocation.Lease lease = readLease(agent);
      List<TenantShare> shares = new ArrayList<>();
      for (QuotaAllocationsDecoder.AgentsDecoder.TenantsDecoder tenant : agent.tenants()) {
        double fraction = tenant.fraction();
        boolean exhausted = lease != null && isSet(tenant.exhausted());
        shares.add(new TenantShare(tenant.tenant(), fraction, exhausted));
      }
      quotas.add(new DataPlaneQuota(agent.node(), new QuotaAllocation(agents, lease, shares)));
    }
    return new ControlPeerMessage.QuotaAllocations(quotas);
  }

  private static QuotaAllocation.Lease readLease(QuotaAllocationsDecoder.AgentsDecoder decoder) {
    long epoch = decoder.allocatorEpoch();
    return epoch == QuotaAllocationsDecoder.AgentsDecoder.allocatorEpochNullValue()
        ? null
        : new QuotaAllocation.Lease(
            epoch,
            decoder.number(),
            decoder.incarnation(),
            decoder.reportSentMicros(),
            decoder.holders());
  }

  private static boolean isSet(Flag flag) {
    return flag == Flag.YES;
  }
}
