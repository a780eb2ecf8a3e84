package slateslip.protocol.distribution;

import java.util.List;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.QuotaReport;
import slateslip.distribution.TenantDemand;
import slateslip.protocol.MessageBuffer;
import slateslip.protocol.distribution.generated.AcknowledgeEncoder;
import slateslip.protocol.distribution.generated.ConfigurationPatchEncoder;
import slateslip.protocol.distribution.generated.ConfigurationSnapshotEncoder;
import slateslip.protocol.distribution.generated.DemandEncoder;
import slateslip.protocol.distribution.generated.Flag;
import slateslip.protocol.distribution.generated.HeartbeatEncoder;
import slateslip.protocol.distribution.generated.MessageHeaderEncoder;
import slateslip.protocol.distribution.generated.PingEncoder;
import slateslip.protocol.distribution.generated.PongEncoder;
import slateslip.protocol.distribution.generated.QuotaUpdateEncoder;
import slateslip.protocol.distribution.generated.SegmentAcknowledgeEncoder;
import slateslip.protocol.distribution.generated.SegmentEncoder;
import slateslip.protocol.distribution.generated.SessionsEncoder;
import slateslip.protocol.distribution.generated.SubscribeEncoder;

/** Encodes messages of the distribution schema. Not thread-safe. */
final class DistributionEncoder {
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();
  private final MessageBuffer messageBuffer = new MessageBuffer();

  byte[] encode(DataPlaneMessage message) {
    return messageBuffer.copy(write(message));
  }

  byte[] encode(ControlPlaneMessage message) {
    return messageBuffer.copy(write(message));
  }

  private int write(DataPlaneMessage message) {
    if (message instanceof DataPlaneMessage.Subscribe subscribe) {
      return write(subscribe);
    }
    if (message instanceof DataPlaneMessage.Acknowledge acknowledge) {
      return write(acknowledge);
    }
    if (message instanceof DataPlaneMessage.Demand demand) {
      return write(demand);
    }
    if (message instanceof DataPlaneMessage.SegmentAcknowledge acknowledge) {
      return write(acknowledge);
    }
    if (message instanceof DataPlaneMessage.Ping ping) {
      PingEncoder encoder = new PingEncoder().wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
      return encoder.nonce(ping.nonce()).encodedLength();
    }
    throw new AssertionError("the schema has no encoding for the message " + message);
  }

  private int write(ControlPlaneMessage message) {
    if (message instanceof ControlPlaneMessage.ConfigurationSnapshot snapshot) {
      return write(snapshot);
    }
    if (message instanceof ControlPlaneMessage.ConfigurationPatch patch) {
      return write(patch);
    }
    if (message instanceof ControlPlaneMessage.SessionSnapshot snapshot) {
      return writeSessions(
          snapshot.revision(), true, snapshot.complete(), snapshot.sessions(), List.of());
    }
    if (message instanceof ControlPlaneMessage.SessionDelta delta) {
      return writeSessions(delta.revision(), false, false, delta.changed(), delta.removedIds());
    }
    if (message instanceof ControlPlaneMessage.QuotaUpdate update) {
      return write(update);
    }
    if (message instanceof ControlPlaneMessage.Heartbeat heartbeat) {
      return write(heartbeat);
    }
    if (message instanceof ControlPlaneMessage.Segment segment) {
      return write(segment);
    }
    if (message instanceof ControlPlaneMessage.Pong pong) {
      PongEncoder encoder = new PongEncoder().wrapAndApplyHeader(messageBuffer.buffer(), 0, header);
      return encoder.nonce(pong.nonce()).encodedLength();
    }
    throw new AssertionError("the schema has no encoding for the message " + message);
  }

  private int write(DataPlaneMessage.Subscribe message) {
    return new SubscribeEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .incarnation(message.incarnation())
        .configurationVersion(message.configurationVersion())
        .active(flag(message.active()))
        .acceptsSegments(flag(message.acceptsSegments()))
        .partialTransfer(message.partial().transfer())
        .partialBytes(message.partial().receivedBytes())
        .node(message.node())
        .zone(message.zone())
        .encodedLength();
  }

  private int write(DataPlaneMessage.Acknowledge message) {
    return new AcknowledgeEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .configurationVersion(message.configurationVersion())
        .sessionRevision(message.sessionRevision())
        .encodedLength();
  }

  private int write(DataPlaneMessage.SegmentAcknowledge message) {
    return new SegmentAcknowledgeEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .transfer(message.position().transfer())
        .receivedBytes(message.position().receivedBytes())
        .encodedLength();
  }

  private int write(DataPlaneMessage.Demand message) {
    QuotaReport report = message.report();
    DemandEncoder encoder =
        new DemandEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
            .allocatorEpoch(report.epoch())
            .appliedNumber(report.appliedNumber())
            .sentMicros(report.sentMicros())
            .ageMicros(report.ageMicros())
            .holders(report.holders())
            .waiting(flag(report.waiting()));
    DemandEncoder.TenantsEncoder group = encoder.tenantsCount(report.tenants().size());
    for (TenantDemand demand : report.tenants()) {
      group
          .next()
          .wantedUnits(demand.wantedUnits())
          .admittedUnits(demand.admittedUnits())
          .allowed(demand.allowed())
          .spent(demand.spent())
          .remainingParts(demand.spending().remainingParts())
          .needed(demand.needed())
          .desired(demand.desired())
          .tenant(demand.tenant());
    }
    return encoder.encodedLength();
  }

  private int write(ControlPlaneMessage.ConfigurationSnapshot message) {
    return new ConfigurationSnapshotEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .configurationVersion(message.version())
        .putContent(message.document(), 0, message.document().length)
        .encodedLength();
  }

  private int write(ControlPlaneMessage.ConfigurationPatch message) {
    return new ConfigurationPatchEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .fromVersion(message.fromVersion())
        .toVersion(message.toVersion())
        .putContent(message.patch(), 0, message.patch().length)
        .encodedLength();
  }

  private int write(ControlPlaneMessage.Segment message) {
    return new SegmentEncoder()
        .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
        .transfer(message.transfer())
        .totalBytes(message.totalBytes())
        .startOffset(message.offset())
        .putContent(message.content(), 0, message.content().length)
        .encodedLength();
  }

  private int writeSessions(
      long revision,
      boolean fullTable,
      boolean complete,
      List<BackendSession> changed,
      List<String> removedIds) {
    SessionsEncoder encoder =
        new SessionsEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
            .revision(revision)
            .fullTable(flag(fullTable))
            .complete(flag(complete));
    SessionsEncoder.ChangedEncoder sessions = encoder.changedCount(changed.size());
    for (BackendSession session : changed) {
      write(session, sessions.next());
    }
    SessionsEncoder.GoneEncoder ids = encoder.goneCount(removedIds.size());
    for (String id : removedIds) {
      ids.next().instance(id);
    }
    return encoder.encodedLength();
  }

  private static void write(BackendSession session, SessionsEncoder.ChangedEncoder encoder) {
    encoder
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

  private int write(ControlPlaneMessage.QuotaUpdate message) {
    QuotaUpdateEncoder encoder =
        new QuotaUpdateEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
            .agents(message.allocation().dataPlanes());
    write(message.allocation().lease(), encoder);
    QuotaUpdateEncoder.TenantsEncoder group =
        encoder.tenantsCount(message.allocation().tenants().size());
    for (TenantShare share : message.allocation().tenants()) {
      group
          .next()
          .fraction(share.fraction())
          .exhausted(flag(share.exhausted()))
          .tenant(share.tenant());
    }
    return encoder.encodedLength();
  }

  private static void write(QuotaAllocation.Lease lease, QuotaUpdateEncoder encoder) {
    if (lease == null) {
      encoder.allocatorEpoch(QuotaUpdateEncoder.allocatorEpochNullValue());
      return;
    }
    encoder
        .allocatorEpoch(lease.epoch())
        .number(lease.number())
        .incarnation(lease.incarnation())
        .reportSentMicros(lease.reportSentMicros())
        .holders(lease.holders());
  }

  private int write(ControlPlaneMessage.Heartbeat message) {
    HeartbeatEncoder encoder =
        new HeartbeatEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, header)
            .current(flag(message.current()))
            .configurationVersion(message.configurationVersion())
            .sessionRevision(message.sessionRevision());
    HeartbeatEncoder.ControlAgentsEncoder group =
        encoder.controlAgentsCount(message.controlAgents().size());
    for (String address : message.controlAgents()) {
      group.next().address(address);
    }
    return encoder.encodedLength();
  }

  private static Flag flag(boolean value) {
    return value ? Flag.YES : Flag.NO;
  }
}
