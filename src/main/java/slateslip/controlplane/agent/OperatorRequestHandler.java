package slateslip.controlplane.agent;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import slateslip.configuration.ConfigurationDocument;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.coordination.ClientResult;
import slateslip.coordination.NodeId;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.OperatorRequest;
import slateslip.distribution.exchange.OperatorResponse;
import slateslip.protocol.exchange.OperatorRequestCodec;
import slateslip.protocol.exchange.OperatorResponseCodec;

/**
 * Calls of the operator's: handled by the primary, forwarded by all others. Confined to the loop.
 */
final class OperatorRequestHandler {
  /** Callers try another agent after a second of silence. */
  private static final long FORWARD_BOUND_MICROS = 900_000;

  /** How long an acknowledgement waits for data planes to put the version in force. */
  private static final long DELIVERY_BOUND_MILLIS = 400;

  private final Scheduler scheduler;
  private final ReplicaHost replica;
  private final ConfigurationState state;
  private final PeerLinks links;
  private final ConfigurationRollout delivery;
  private final Map<Long, PendingForward> forwarded = new HashMap<>();

  /** Begins at a number drawn at random, so that no two lives of an agent use one id. */
  private long lastId;

  /** A call that another agent was asked to answer. */
  private record PendingForward(String peer, Consumer<OperatorResponse> answer) {}

  /** Waits for deliveries at all agents. */
  interface ConfigurationRollout {
    /** Calls back once all data planes in reach have this version, or after the bound. */
    void await(long version, long boundMillis, Runnable then);
  }

  /**
   * No calls yet.
   *
   * @param incarnation of this process, drawn at random: an answer to a call that an earlier
   *     process forwarded must not be taken for the answer to a call of this one
   */
  OperatorRequestHandler(
      long incarnation,
      Scheduler scheduler,
      ReplicaHost replica,
      ConfigurationState state,
      PeerLinks links,
      ConfigurationRollout delivery) {
    lastId = incarnation;
    this.scheduler = scheduler;
    this.replica = replica;
    this.state = state;
    this.links = links;
    this.delivery = delivery;
  }

  /** A call that came to this agent; answered once. */
  void call(OperatorRequest call, Consumer<OperatorResponse> answer) {
    if (replica.isServing()) {
      handle(call, answer);
      return;
    }
    NodeId primary = replica.role().primary();
    String peer = primary.address().toString();
    if (!links.isUsable(peer)) {
      answer.accept(OperatorResponse.unavailable("no primary in reach"));
      return;
    }
    lastId++;
    long id = lastId;
    forwarded.put(id, new PendingForward(peer, answer));
    links.send(peer, new ControlPeerMessage.ForwardedRequest(id, call));
    scheduler.schedule(FORWARD_BOUND_MICROS, () -> giveUp(id));
  }

  private void giveUp(long id) {
    PendingForward call = forwarded.remove(id);
    if (call != null) {
      call.answer.accept(OperatorResponse.unavailable("no answer of the primary"));
    }
  }

  /** A call that came to another agent. */
  void forwarded(String peer, ControlPeerMessage.ForwardedRequest message) {
    Consumer<OperatorResponse> back =
        answer ->
            links.send(peer, new ControlPeerMessage.ForwardedResponse(message.requestId(), answer));
    if (replica.isServing()) {
      handle(message.request(), back);
    } else {
      back.accept(OperatorResponse.unavailable("not the primary"));
    }
  }

  /** The answer of the agent that a call was forwarded to. */
  void answered(String peer, ControlPeerMessage.ForwardedResponse message) {
    PendingForward call = forwarded.get(message.requestId());
    if (call != null && call.peer.equals(peer)) {
      forwarded.remove(message.requestId());
      call.answer.accept(message.response());
    }
  }

  private void handle(OperatorRequest call, Consumer<OperatorResponse> answer) {
    if (call.method() == OperatorRequest.Method.GET) {
      replica.confirm(result -> answer.accept(readAnswer(result)));
    } else {
      replica.propose(OperatorRequestCodec.encode(call), result -> changed(result, answer));
    }
  }

  private OperatorResponse readAnswer(ClientResult result) {
    if (!(result instanceof ClientResult.Confirmed)) {
      return OperatorResponse.unavailable("the state may not be current");
    }
    Optional<ConfigurationDocument> document = state.document();
    return document
        .map(found -> new OperatorResponse(OperatorResponse.OK, found.version(), found.toJson()))
        .orElseGet(
            () -> OperatorResponse.of(OperatorResponse.NOT_FOUND, 0, "no configuration yet"));
  }

  private void changed(ClientResult result, Consumer<OperatorResponse> answer) {
    if (result instanceof ClientResult.Committed) {
      acknowledge(state.version(), answer);
    } else if (result instanceof ClientResult.Responded answered) {
      OperatorResponse prepared = OperatorResponseCodec.decode(answered.response());
      if (prepared.status() == OperatorResponse.OK) {
        acknowledge(prepared.version(), answer);
      } else {
        answer.accept(prepared);
      }
    } else {
      answer.accept(OperatorResponse.unavailable("the change may or may not come into force"));
    }
  }

  /** A committed change is acknowledged once it is in force, as far as that is seen in time. */
  private void acknowledge(long version, Consumer<OperatorResponse> answer) {
    byte[] body = ("{\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
    delivery.await(
        version,
        DELIVERY_BOUND_MILLIS,
        () -> answer.accept(new OperatorResponse(OperatorResponse.OK, version, body)));
  }
}
