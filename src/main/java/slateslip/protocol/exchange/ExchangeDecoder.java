package slateslip.protocol.exchange;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import slateslip.distribution.AgentShares;
import slateslip.distribution.AgentShares.TenantShare;
import slateslip.distribution.BackendSession;
import slateslip.distribution.TenantDemand;
import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.distribution.exchange.ExchangeMessage.AgentDemand;
import slateslip.distribution.exchange.ExchangeMessage.AllottedShares;
import slateslip.distribution.exchange.OperatorAnswer;
import slateslip.distribution.exchange.OperatorCall;
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
final class ExchangeDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();

  /** Reads a message; null if its kind is not known. */
  ExchangeMessage read(DirectBuffer buffer, int template) {
    return switch (template) {
      case GreetingDecoder.TEMPLATE_ID -> readGreeting(buffer);
      case BeatDecoder.TEMPLATE_ID -> readBeat(buffer);
      case SessionChangesDecoder.TEMPLATE_ID -> readChanges(buffer);
      case SessionRenewalsDecoder.TEMPLATE_ID -> readRenewals(buffer);
      case SessionsStoredDecoder.TEMPLATE_ID ->
          new ExchangeMessage.SessionsStored(
              new SessionsStoredDecoder().wrapAndApplyHeader(buffer, 0, header).number());
      case ForwardedDecoder.TEMPLATE_ID -> readForwarded(buffer);
      case AnsweredDecoder.TEMPLATE_ID -> readAnswered(buffer);
      case DeliveredDecoder.TEMPLATE_ID ->
          new ExchangeMessage.Delivered(
              new DeliveredDecoder().wrapAndApplyHeader(buffer, 0, header).slowestVersion());
      case DemandsDecoder.TEMPLATE_ID -> readDemands(buffer);
      case AllottedDecoder.TEMPLATE_ID -> readAllotted(buffer);
      default -> null;
    };
  }

  private ExchangeMessage readGreeting(DirectBuffer buffer) {
    GreetingDecoder decoder = new GreetingDecoder().wrapAndApplyHeader(buffer, 0, header);
    long incarnation = decoder.incarnation();
    return new ExchangeMessage.Greeting(decoder.address(), incarnation);
  }

  private ExchangeMessage readBeat(DirectBuffer buffer) {
    BeatDecoder decoder = new BeatDecoder().wrapAndApplyHeader(buffer, 0, header);
    long number = decoder.number();
    long echoed = decoder.echoed();
    boolean complete = isSet(decoder.complete());
    List<String> known = new ArrayList<>();
    for (BeatDecoder.KnownAgentsDecoder agent : decoder.knownAgents()) {
      known.add(agent.address());
    }
    return new ExchangeMessage.Beat(number, echoed, complete, known);
  }

  private ExchangeMessage readForwarded(DirectBuffer buffer) {
    ForwardedDecoder decoder = new ForwardedDecoder().wrapAndApplyHeader(buffer, 0, header);
    long id = decoder.call();
    long baseVersion = decoder.baseVersion();
    OperatorCall.Method method = CallMethods.fromWire(decoder.method());
    byte[] body = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(body, 0, body.length);
    return new ExchangeMessage.Forwarded(id, new OperatorCall(method, baseVersion, body));
  }

  private ExchangeMessage readAnswered(DirectBuffer buffer) {
    AnsweredDecoder decoder = new AnsweredDecoder().wrapAndApplyHeader(buffer, 0, header);
    long id = decoder.call();
    long version = decoder.configurationVersion();
    int status = decoder.status();
    byte[] body = new byte[checkedLength(buffer, decoder.limit(), decoder.contentLength())];
    decoder.getContent(body, 0, body.length);
    return new ExchangeMessage.Answered(id, new OperatorAnswer(status, version, body));
  }

  private static int checkedLength(DirectBuffer buffer, int limit, int length) {
    int offset = limit + DocumentDecoder.varDataEncodingOffset();
    return MessageReader.checkedLength(buffer, offset, length);
  }

  private ExchangeMessage readChanges(DirectBuffer buffer) {
    SessionChangesDecoder decoder =
        new SessionChangesDecoder().wrapAndApplyHeader(buffer, 0, header);
    long number = decoder.number();
    boolean whole = isSet(decoder.whole());
    List<SessionEntry> entries = new ArrayList<>();
    for (SessionChangesDecoder.EntriesDecoder entry : decoder.entries()) {
      entries.add(readEntry(entry));
    }
    List<String> departed = new ArrayList<>();
    for (SessionChangesDecoder.DepartedDecoder id : decoder.departed()) {
      departed.add(id.instance());
    }
    return new ExchangeMessage.SessionChanges(number, whole, entries, departed);
  }

  private static SessionEntry readEntry(SessionChangesDecoder.EntriesDecoder decoder) {
    long registeredAge = decoder.registeredAgeMillis();
    long heardAge = decoder.heardAgeMillis();
    int slots = decoder.slots();
    boolean draining = isSet(decoder.draining());
    long coldLeft = decoder.coldLeftMillis();
    long sequence = decoder.sequence();
    String id = decoder.instance();
    String service = decoder.service();
    String address = decoder.address();
    String zone = decoder.zone();
    String software = decoder.software();
    BackendSession session =
        new BackendSession(
            id, service, address, zone, software, slots, draining, coldLeft, sequence);
    return new SessionEntry(session, registeredAge, heardAge);
  }

  private ExchangeMessage readRenewals(DirectBuffer buffer) {
    SessionRenewalsDecoder decoder =
        new SessionRenewalsDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<SessionRenewal> renewals = new ArrayList<>();
    for (SessionRenewalsDecoder.RenewalsDecoder renewal : decoder.renewals()) {
      long heardAge = renewal.heardAgeMillis();
      renewals.add(new SessionRenewal(renewal.instance(), heardAge));
    }
    return new ExchangeMessage.SessionRenewals(renewals);
  }

  private ExchangeMessage readDemands(DirectBuffer buffer) {
    DemandsDecoder decoder = new DemandsDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<AgentDemand> demands = new ArrayList<>();
    for (DemandsDecoder.AgentsDecoder agent : decoder.agents()) {
      long incarnation = agent.incarnation();
      List<TenantDemand> tenants = new ArrayList<>();
      for (DemandsDecoder.AgentsDecoder.TenantsDecoder tenant : agent.tenants()) {
        long wanted = tenant.wantedUnits();
        long admitted = tenant.admittedUnits();
        tenants.add(new TenantDemand(tenant.tenant(), wanted, admitted));
      }
      demands.add(new AgentDemand(agent.node(), incarnation, tenants));
    }
    return new ExchangeMessage.Demands(demands);
  }

  private ExchangeMessage readAllotted(DirectBuffer buffer) {
    AllottedDecoder decoder = new AllottedDecoder().wrapAndApplyHeader(buffer, 0, header);
    List<AllottedShares> allotted = new ArrayList<>();
    for (AllottedDecoder.AgentsDecoder agent : decoder.agents()) {
      int agents = agent.agents();
      List<TenantShare> shares = new ArrayList<>();
      for (AllottedDecoder.AgentsDecoder.TenantsDecoder tenant : agent.tenants()) {
        double fraction = tenant.fraction();
        shares.add(new TenantShare(tenant.tenant(), fraction));
      }
      allotted.add(new AllottedShares(agent.node(), new AgentShares(agents, shares)));
    }
    return new ExchangeMessage.Allotted(allotted);
  }

  private static boolean isSet(Flag flag) {
    return flag == Flag.YES;
  }
}
