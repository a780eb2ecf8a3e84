package slateslip.protocol.exchange;

import java.util.List;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.exchange.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.exchange.OperatorRequest;
import slateslip.distribution.exchange.SessionEntry;
import slateslip.distribution.exchange.SessionRenewal;
import slateslip.protocol.MessageBuffer;
import slateslip.protocol.exchange.generated.AllottedEncoder;
import slateslip.protocol.exchange.generated.AnsweredEncoder;
import slateslip.protocol.exchange.generated.BeatEncoder;
import slateslip.protocol.exchange.generated.DeliveredEncoder;
import slateslip.protocol.exchange.generated.DemandsEncoder;
import slateslip.protocol.exchange.generated.Flag;
import slateslip.protocol.exchange.generated.ForwardedEncoder;
import slateslip.protocol.exchange.generated.GreetingEncoder;
import slateslip.protocol.exchange.generated.MessageHeaderEncoder;
import slateslip.protocol.exchange.generated.SessionChangesEncoder;
import slateslip.protocol.exchange.generated.SessionRenewalsEncoder;
import slateslip.protocol.exchange.generated.SessionsStoredEncoder;

/** Writes messages of the exchange schema. Not safe for several threads. */
final class ControlPeerEncoder {
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();
  private final MessageBuffer written = new MessageBuffer();

  byte[] encode(ControlPeerMessage message) {
    return written.copy(write(message));
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
    if (message instanceof ControlPeerMessage.DeliveryReport delivered) {
      DeliveredEncoder encoder = new DeliveredEncoder();
      encoder.wrapAndApplyHeader(written.buffer(), 0, header);
      return encoder.slowestVersion(delivered.slowestVersion()).encodedLength();
    }
    if (message instanceof ControlPeerMessage.DemandReport demands) {
      return write(demands);
    }
    if (message instanceof ControlPeerMessage.QuotaAllocations allotted) {
      return write(allotted);
    }
    return writeSessions(message);
  }

  private int writeSessions(ControlPeerMessage message) {
    if (message instanceof ControlPeerMessage.SessionChanges changes) {
      return write(changes);
    }
    if (message instanceof ControlPeerMessage.SessionRenewals renewals) {
      return write(renewals);
    }
    if (message instanceof ControlPeerMessage.SessionChangesAcknowledged stored) {
      SessionsStoredEncoder encoder = new SessionsStoredEncoder();
      encoder.wrapAndApplyHeader(written.buffer(), 0, header);
      return encoder.number(stored.number()).encodedLength();
    }
    throw new AssertionError("a message that is not in the schema: " + message);
  }

  private int write(ControlPeerMessage.Hello message) {
    return new GreetingEncoder()
        .wrapAndApplyHeader(written.buffer(), 0, header)
        .incarnation(message.incarnation())
        .address(message.address())
        .encodedLength();
  }

  private int write(ControlPeerMessage.Heartbeat message) {
    BeatEncoder encoder =
        new BeatEncoder()
            .wrapAndApplyHeader(written.buffer(), 0, header)
            .number(message.number())
            .echoed(message.acknowledgedNumber())
            .complete(flag(message.complete()));
    BeatEncoder.KnownAgentsEncoder group = encoder.knownAgentsCount(message.knownAgents().size());
    for (String address : message.knownAgents()) {
      group.next().address(address);
    }
    return encoder.encodedLength();
  }

  private int write(ControlPeerMessage.ForwardedRequest message) {
    OperatorRequest request = message.request();
    return new ForwardedEncoder()
        .wrapAndApplyHeader(written.buffer(), 0, header)
        .call(message.requestId())
        .baseVersion(request.baseVersion())
        .method(OperatorMethods.toWire(request.method()))
        .putContent(request.body(), 0, request.body().length)
        .encodedLength();
  }

  private int write(ControlPeerMessage.ForwardedResponse message) {
    byte[] body = message.response().body();
    return new AnsweredEncoder()
        .wrapAndApplyHeader(written.buffer(), 0, header)
        .call(message.requestId())
        .configurationVersion(message.response().version())
        .status(message.response().status())
        .putContent(body, 0, body.length)
        .encodedLength();
  }

  private int write(ControlPeerMessage.SessionChanges message) {
    SessionChangesEncoder encoder =
        new SessionChangesEncoder()
            .wrapAndApplyHeader(written.buffer(), 0, header)
            .number(message.number())
            .whole(flag(message.fullTable()));
    SessionChangesEncoder.EntriesEncoder entries = encoder.entriesCount(message.entries().size());
    for (SessionEntry entry : message.entries()) {
      write(entry, entries.next());
    }
    SessionChangesEncoder.DepartedEncoder ids =
        encoder.departedCount(message.deregistered().size());
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
        .coldLeftMillis(session.remainingWarmupMillis())
        .sequence(session.sequence())
        .instance(session.id())
        .service(session.service())
        .address(session.address())
        .zone(session.zone())
        .software(session.version());
  }

  private int write(ControlPeerMessage.SessionRenewals message) {
    SessionRenewalsEncoder encoder =
        new SessionRenewalsEncoder().wrapAndApplyHeader(written.buffer(), 0, header);
    List<SessionRenewal> renewals = message.renewals();
    SessionRenewalsEncoder.RenewalsEncoder group = encoder.renewalsCount(renewals.size());
    for (SessionRenewal renewal : renewals) {
      group.next().heardAgeMillis(renewal.heardAgeMillis()).instance(renewal.id());
    }
    return encoder.encodedLength();
  }

  private int write(ControlPeerMessage.DemandReport message) {
    DemandsEncoder encoder = new DemandsEncoder().wrapAndApplyHeader(written.buffer(), 0, header);
    DemandsEncoder.AgentsEncoder agents = encoder.agentsCount(message.dataPlanes().size());
    for (DataPlaneDemand demand : message.dataPlanes()) {
      DemandsEncoder.AgentsEncoder agent = agents.next().incarnation(demand.incarnation());
      DemandsEncoder.AgentsEncoder.TenantsEncoder tenants =
          agent.tenantsCount(demand.tenants().size());
      for (TenantDemand tenant : demand.tenants()) {
        tenants
            .next()
            .wantedUnits(tenant.wantedUnits())
            .admittedUnits(tenant.admittedUnits())
            .tenant(tenant.tenant());
      }
      agent.node(demand.node());
    }
    return encoder.encodedLength();
  }

  private int write(ControlPeerMessage.QuotaAllocations message) {
    AllottedEncoder encoder = new AllottedEncoder().wrapAndApplyHeader(written.buffer(), 0, header);
    AllottedEncoder.AgentsEncoder agents = encoder.agentsCount(message.dataPlanes().size());
    for (DataPlaneQuota allotted : message.dataPlanes()) {
      AllottedEncoder.AgentsEncoder agent = agents.next().agents(allotted.shares().dataPlanes());
      AllottedEncoder.AgentsEncoder.TenantsEncoder tenants =
          agent.tenantsCount(allotted.shares().tenants().size());
      for (TenantShare share : allotted.shares().tenants()) {
        tenants.next().fraction(share.fraction()).tenant(share.tenant());
      }
      agent.node(allotted.node());
    }
    return encoder.encodedLength();
  }

  private static Flag flag(boolean value) {
    return value ? Flag.YES : Flag.NO;
  }
}
