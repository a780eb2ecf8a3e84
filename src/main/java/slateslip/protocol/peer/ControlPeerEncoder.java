package slateslip.protocol.peer;

import java.util.List;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.peer.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.SessionEntry;
import slateslip.distribution.peer.SessionRenewal;
import slateslip.protocol.MessageBuffer;
import slateslip.protocol.peer.generated.DeliveryReportEncoder;
import slateslip.protocol.peer.generated.DemandReportEncoder;
import slateslip.protocol.peer.generated.Flag;
import slateslip.protocol.peer.generated.ForwardedRequestEncoder;
import slateslip.protocol.peer.generated.ForwardedResponseEncoder;
import slateslip.protocol.peer.generated.HeartbeatEncoder;
import slateslip.protocol.peer.generated.HelloEncoder;
import slateslip.protocol.peer.generated.MessageHeaderEncoder;
import slateslip.protocol.peer.generated.QuotaAllocationsEncoder;
import slateslip.protocol.peer.generated.SegmentAcknowledgeEncoder;
import slateslip.protocol.peer.generated.SegmentEncoder;
import slateslip.protocol.peer.generated.SessionChangesAcknowledgedEncoder;
import slateslip.protocol.peer.generated.SessionChangesEncoder;
import slateslip.protocol.peer.generated.SessionRenewalsEncoder;

/** Encodes the messages between control agents. Not thread-safe. */
final class ControlPeerEncoder {
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();
  private final MessageBuffer messageBuffer = new MessageBuffer();

  byte[] encode(ControlPeerMessage message) {
    return messageBuffer.copy(write(message));
  }

  private int write(ControlPeerMessage message) {
    if (message instanceof ControlPeerMessage.Hello hello) {
      return write(hello);
    }
    if (message instanceof ControlPeerMessage.Heartbeat heartbeat) {
      return write(heartbeat);
    }
    if (message instanceof ControlPeerMessage.ForwardedRequest forwarded) {
      return write(forwarded);
    }
    if (message instanceof ControlPeerMessage.ForwardedResponse response) {
      return write(response);
    }
    if (message instanceof ControlPeerMessage.DeliveryReport report) {
      DeliveryReportEncoder encoder = new DeliveryReportEncoder();
      encoder.wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
      return encoder
          .slowestVersion(report.slowestVersion())
          .deliveredBytes(report.deliveredBytes())
          .encodedLength();
    }
    if (message instanceof ControlPeerMessage.DemandReport demands) {
      return write(demands);
    }
    if (message instanceof ControlPeerMessage.QuotaAllocations allocations) {
      return write(allocations);
    }
    if (message instanceof ControlPeerMessage.Segment segment) {
      return write(segment.part());
    }
    if (message instanceof ControlPeerMessage.SegmentAcknowledge acknowledge) {
      return new SegmentAcknowledgeEncoder()
          .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
          .transfer(acknowledge.position().transfer())
          .receivedBytes(acknowledge.position().receivedBytes())
          .encodedLength();
    }
    return writeSessions(message);
  }

  private int write(ControlPlaneMessage.Segment segment) {
    return new SegmentEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .transfer(segment.transfer())
        .totalBytes(segment.totalBytes())
        .startOffset(segment.offset())
        .putContent(segment.content(), 0, segment.content().length)
        .encodedLength();
  }

  private int writeSessions(ControlPeerMessage message) {
    if (message instanceof ControlPeerMessage.SessionChanges changes) {
      return write(changes);
    }
    if (message instanceof ControlPeerMessage.SessionRenewals renewals) {
      return write(renewals);
    }
    if (message instanceof ControlPeerMessage.SessionChangesAcknowledged acknowledgement) {
      SessionChangesAcknowledgedEncoder encoder = new SessionChangesAcknowledgedEncoder();
      encoder.wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
      return encoder.number(acknowledgement.number()).encodedLength();
    }
    throw new AssertionError("the schema has no encoding for the message " + message);
  }

  private int write(ControlPeerMessage.Hello message) {
    return new HelloEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .incarnation(message.incarnation())
        .acceptsSegments(flag(message.acceptsSegments()))
        .address(message.address())
        .encodedLength();
  }

  private int write(ControlPeerMessage.Heartbeat message) {
    HeartbeatEncoder encoder =
        new HeartbeatEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
            .number(message.number())
            .acknowledgedNumber(message.acknowledgedNumber())
            .complete(flag(message.complete()));
    HeartbeatEncoder.KnownAgentsEncoder group =
        encoder.knownAgentsCount(message.knownAgents().size());
    for (String address : message.knownAgents()) {
      group.next().address(address);
    }
    return encoder.encodedLength();
  }

  private int write(ControlPeerMessage.ForwardedRequest message) {
    OperatorRequest request = message.request();
    return new ForwardedRequestEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .requestId(message.requestId())
        .baseVersion(request.baseVersion())
        .method(OperatorMethods.toWire(request.method()))
        .putContent(request.body(), 0, request.body().length)
        .encodedLength();
  }

  private int write(ControlPeerMessage.ForwardedResponse message) {
    byte[] body = message.response().body();
    return new ForwardedResponseEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .requestId(message.requestId())
        .configurationVersion(message.response().version())
        .status(message.response().status())
        .putContent(body, 0, body.length)
        .encodedLength();
  }

  private int write(ControlPeerMessage.SessionChanges message) {
    SessionChangesEncoder encoder =
        new SessionChangesEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
            .number(message.number())
            .fullTable(flag(message.fullTable()));
    SessionChangesEncoder.EntriesEncoder entries = encoder.entriesCount(message.entries().size());
    for (SessionEntry entry : message.entries()) {
      write(entry, entries.next());
    }
    SessionChangesEncoder.DeregisteredEncoder ids =
        encoder.deregisteredCount(message.deregistered().size());
    for (String id : message.deregistered()) {
      ids.next().instance(id);
    }
    return encoder.encodedLength();
  }

  private static void write(SessionEntry entry, SessionChangesEncoder.EntriesEncoder encoder) {
    BackendSession session = entry.session();
    encoder
        .registeredAgeMillis(entry.registeredAgeMillis())
        .heardAgeMillis(entry.heardAgeMillis())
        .slots(session.slots())
        .draining(flag(session.draining()))
        .remainingWarmupMillis(session.remainingWarmupMillis())
        .sequence(session.sequence())
        .instance(session.id())
        .service(session.service())
        .address(session.address())
        .zone(session.zone())
        .software(session.version());
  }

  private int write(ControlPeerMessage.SessionRenewals message) {
    SessionRenewalsEncoder encoder =
        new SessionRenewalsEncoder().wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
    List<SessionRenewal> renewals = message.renewals();
    SessionRenewalsEncoder.RenewalsEncoder group = encoder.renewalsCount(renewals.size());
    for (SessionRenewal renewal : renewals) {
      group.next().heardAgeMillis(renewal.heardAgeMillis()).instance(renewal.id());
    }
    return encoder.encodedLength();
  }

  private int write(ControlPeerMessage.DemandReport message) {
    DemandReportEncoder encoder =
        new DemandReportEncoder().wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
    DemandReportEncoder.AgentsEncoder agents = encoder.agentsCount(message.dataPlanes().size());
    for (DataPlaneDemand demand : message.dataPlanes()) {
      QuotaReport report = demand.report();
      DemandReportEncoder.AgentsEncoder agent =
          agents
              .next()
              .incarnation(demand.incarnation())
              .allocatorEpoch(report.epoch())
              .appliedNumber(report.appliedNumber())
              .sentMicros(report.sentMicros())
              .ageMicros(report.ageMicros())
              .holders(report.holders())
              .waiting(flag(report.waiting()));
      DemandReportEncoder.AgentsEncoder.TenantsEncoder tenants =
          agent.tenantsCount(report.tenants().size());
      for (TenantDemand tenant : report.tenants()) {
        tenants
            .next()
            .wantedUnits(tenant.wantedUnits())
            .admittedUnits(tenant.admittedUnits())
            .allowed(tenant.allowed())
            .spent(tenant.spent())
            .remainingParts(tenant.spending().remainingParts())
            .needed(tenant.needed())
            .desired(tenant.desired())
            .tenant(tenant.tenant());
      }
      agent.node(demand.node());
    }
    return encoder.encodedLength();
  }

  private int write(ControlPeerMessage.QuotaAllocations message) {
    QuotaAllocationsEncoder encoder =
        new QuotaAllocationsEncoder().wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
    QuotaAllocationsEncoder.AgentsEncoder agents = encoder.agentsCount(message.dataPlanes().size());
    for (DataPlaneQuota quota : message.dataPlanes()) {
      QuotaAllocationsEncoder.AgentsEncoder agent =
          agents.next().agents(quota.allocation().dataPlanes());
      write(quota.allocation().lease(), agent);
      QuotaAllocationsEncoder.AgentsEncoder.TenantsEncoder tenants =
          agent.tenantsCount(quota.allocation().tenants().size());
      for (TenantShare share : quota.allocation().tenants()) {
        tenants
            .next()
            .fraction(share.fraction())
            .exhausted(flag(share.exhausted()))
            .tenant(share.tenant());
      }
      agent.node(quota.node());
    }
    return encoder.encodedLength();
  }

  private static void write(
      QuotaAllocation.Lease lease, QuotaAllocationsEncoder.AgentsEncoder encoder) {
    if (lease == null) {
      encoder.allocatorEpoch(QuotaAllocationsEncoder.AgentsEncoder.allocatorEpochNullValue());
      return;
    }
    encoder
        .allocatorEpoch(lease.epoch())
        .number(lease.number())
        .incarnation(lease.incarnation())
        .reportSentMicros(lease.reportSentMicros())
        .holders(lease.holders());
  }

  private static Flag flag(boolean value) {
    return value ? Flag.YES : Flag.NO;
  }
}
