package slateslip.protocol.exchange;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import slateslip.distribution.BackendSession;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaAllocation.TenantShare;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.ControlPeerMessage.DataPlaneDemand;
import slateslip.distribution.exchange.ControlPeerMessage.DataPlaneQuota;
import slateslip.distribution.exchange.OperatorRequest;
import slateslip.distribution.exchange.OperatorResponse;
import slateslip.distribution.exchange.SessionEntry;
import slateslip.distribution.exchange.SessionRenewal;
import slateslip.protocol.MessageReader;
import slateslip.protocol.exchange.generated.AllottedDecoder;
import slateslip.protocol.exchange.generated.AnsweredDecoder;
import slateslip.protocol.exchange.generated.BeatDecoder;
import slateslip.protocol.exchange.generated.DeliveredDecoder;
import slateslip.protocol.exchange.generated.DemandsDecoder;
import slateslip.protocol.exchange.generated.DocumentDecoder;
import slateslip.protocol.exchange.generated.Flag;
import slateslip.protocol.exchange.generated.ForwardedDecoder;
import slateslip.protocol.exchange.generated.GreetingDecoder;
import slateslip.protocol.exchange.generated.MessageHeaderDecoder;
import slateslip.protocol.exchange.generated.SessionChangesDecoder;
import slateslip.protocol.exchange.generated.SessionRenewalsDecoder;
import slateslip.protocol.exchange.generated.SessionsStoredDecoder;

/** Reads messages of the exchange schema; errors as {@link MessageReader.BodyReader} says. */
final class ControlPeerDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();

  /** Reads a message; null if its kind is not known. */
  ControlPeerMessage read(DirectBuffer buffer, int template) {
    return switch (template) {
      case GreetingDecoder.TEMPLATE_ID -> readHello(buffer);
      case BeatDecoder.TEMPLATE_ID -> readHeartbeat(buffer);
      case SessionChangesDecoder.TEMPLATE_ID -> readChanges(buffer);
      case SessionRenewalsDecoder.TEMPLATE_ID -> readRenewals(buffer);
      case SessionsStoredDecoder.TEMPLATE_ID ->
          new ControlPeerMessage.SessionChangesAcknowledged(
              new SessionsStoredDecoder().wrapAndApplyHeader(buffer, 0, header).number());
      case ForwardedDecoder.TEMPLATE_ID -> readForwardedRequest(buffer);
      case AnsweredDecoder.TEMPLATE_ID -> readForwardedResponse(buffer);
      case DeliveredDecoder.TEMPLATE_ID ->
          new ControlPeerMessage.DeliveryReport(
              new DeliveredDecoder().wrapAndApplyHeader(buffer, 0, header).slowestVersion());
      case DemandsDecoder.TEMPLATE_ID -> readDemandReport(buffer);
      case AllottedDecoder.TEMPLATE_ID -> readQuotaAllocations(buffer);
      default -> null;
    };
  }

  private ControlPeerMessage readHello(DirectBuffer buffer) {
    GreetingDecoder decoder = new GreetingDecoder().wrapAndApplyHeader(buffer, 0, header);
    long incarnation = decoder.incarnation();
    return new ControlPeerMessage.Hello(decoder.address(), incarnation);
  }

  private ControlPeerMessage readHeartbeat(DirectBuffer buffer) {
    BeatDecoder decoder = new BeatDecoder().wrapAndApplyHeader(buffer, 0, header);
    long number = decoder.number();
    long echoed = decoder.echoed();
    boolean complete = isSet(decoder.complete());
    List<String> known = new ArrayList<>();
    for (BeatDecoder.KnownAgentsDecoder agent : decoder.knownAgents()) {
      known.add(agent.address());
    }
    return new ControlPeerMessage.Heartbeat(number, echoed, complete, known);
  }

  private ControlPeerMessage readForwardedRequest(DirectBuffer buffer) {
    ForwardedDecoder decoder = new ForwardedDecoder().wrapAndApplyHeader(buffer, 0, header);
    long id = decoder.call();
    long baseVersion = decoder.baseVersion();
    OperatorRequest.Method method = OperatorMethods.fromWire(decoder.method());
    byte[] body = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(body, 0, body.length);
    return new ControlPeerMessage.ForwardedRequest(
        id, new OperatorRequest(method, baseVersion, body));
  }

  private ControlPeerMessage readForwardedResponse(DirectBuffer buffer) {
    AnsweredDecoder decoder = new AnsweredDecoder().wrapAndApplyHeader(buffer, 0, header);
    long id = decoder.call();
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

  private ControlPeerMessage readChanges(DirectBuffer buffer) {
    SessionChangesDecoder decoder =
        new SessionChangesDecoder().wrapAndApplyHeader(buffer, 0, header);
    long number = decoder.number();
    boolean fullTable = isSet(decoder.whole());
    List<SessionEntry> entries = new ArrayList<>();
    for (SessionChangesDecoder.EntriesDecoder entry : decoder.entries()) {
      entries.add(readEntry(entry));
    }
    List<String> deregistered = new ArrayList<>();
    for (SessionChangesDecoder.DepartedDecoder id : decoder.departed()) {
      deregistered.add(id.instance());
    }
    return new ControlPeerMessage.SessionChanges(number, fullTable, entries, deregistered);
  }

  private static SessionEntry readEntry(SessionChangesDecoder.EntriesDecoder decoder) {
    long registeredAge = decoder.registeredAgeMillis();
    long heardAge = decoder.heardAgeMillis();
    int slots = decoder.slots();
    boolean draining = isSet(decoder.draining());
    long remainingWarmupMillis = decoder.coldLeftMillis();
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

  private ControlPeerMessage readRenewals(DirectBuffer buffer) {
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
    DemandsDecoder decoder = new DemandsDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<DataPlaneDemand> demands = new ArrayList<>();
    for (DemandsDecoder.AgentsDecoder agent : decoder.agents()) {
      long incarnation = agent.incarnation();
      List<TenantDemand> tenants = new ArrayList<>();
      for (DemandsDecoder.AgentsDecoder.TenantsDecoder tenant : agent.tenants()) {
        long wanted = tenant.wantedUnits();
        long admitted = tenant.admittedUnits();
        tenants.add(new TenantDemand(tenant.tenant(), wanted, admitted));
      }
      demands.add(new DataPlaneDemand(agent.node(), incarnation, tenants));
    }
    return new ControlPeerMessage.DemandReport(demands);
  }

  private ControlPeerMessage readQuotaAllocations(DirectBuffer buffer) {
    AllottedDecoder decoder = new AllottedDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<DataPlaneQuota> allotted = new ArrayList<>();
    for (AllottedDecoder.AgentsDecoder agent : decoder.agents()) {
      int agents = agent.agents();
      List<TenantShare> shares = new ArrayList<>();
      for (AllottedDecoder.AgentsDecoder.TenantsDecoder tenant : agent.tenants()) {
        double fraction = tenant.fraction();
        shares.add(new TenantShare(tenant.tenant(), fraction));
      }
      allotted.add(new DataPlaneQuota(agent.node(), new QuotaAllocation(agents, shares)));
    }
    return new ControlPeerMessage.QuotaAllocations(allotted);
  }

  private static boolean isSet(Flag flag) {
    return flag == Flag.YES;
  }
}
